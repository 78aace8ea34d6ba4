package compat

import (
	"fmt"
	"hash/fnv"
	"reflect"
	"time"
)

// fill sets all exported fields of a value, each to one that follows from its path alone,
// so that fields of the same name are equal in two versions of a type. Lists and maps get
// one element.
func fill(value reflect.Value, path string) {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(path))
	number := hash.Sum64()%120 + 1
	if value.Type() == reflect.TypeFor[time.Time]() {
		value.Set(reflect.ValueOf(time.Unix(int64(number), 0).UTC()))
		return
	}
	switch value.Kind() {
	case reflect.Bool:
		value.SetBool(true)
	case reflect.String:
		value.SetString(fmt.Sprint(path, "-", number))
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		value.SetInt(int64(number))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		value.SetUint(number)
	case reflect.Float32, reflect.Float64:
		value.SetFloat(float64(number) / 8)
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		fill(value.Elem(), path)
	case reflect.Slice:
		value.Set(reflect.MakeSlice(value.Type(), 1, 1))
		fill(value.Index(0), path+"[]")
	case reflect.Array:
		for i := range value.Len() {
			fill(value.Index(i), path+"[]")
		}
	case reflect.Map:
		value.Set(reflect.MakeMap(value.Type()))
		key, element := reflect.New(value.Type().Key()).Elem(), reflect.New(value.Type().Elem()).Elem()
		fill(key, path+"{key}")
		fill(element, path+"{}")
		value.SetMapIndex(key, element)
	case reflect.Struct:
		for i := range value.NumField() {
			if field := value.Type().Field(i); field.IsExported() {
				fill(value.Field(i), path+"."+field.Name)
			}
		}
	default:
		panic("no value for " + value.Type().String())
	}
}

// filled returns a pointer to a value of a type with all fields set.
func filled(valueType reflect.Type) any {
	value := reflect.New(valueType)
	fill(value.Elem(), "")
	return value.Interface()
}
