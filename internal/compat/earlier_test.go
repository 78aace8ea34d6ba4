package compat

import (
	"go/ast"
	"go/parser"
	"go/token"
	"reflect"
	"strconv"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// basicTypes are the types of Go that the types of e577979 consist of.
var basicTypes = map[string]reflect.Type{
	"bool": reflect.TypeFor[bool](), "string": reflect.TypeFor[string](), "int": reflect.TypeFor[int](), "int64": reflect.TypeFor[int64](),
	"uint8": reflect.TypeFor[uint8](), "uint32": reflect.TypeFor[uint32](), "byte": reflect.TypeFor[byte](), "uint64": reflect.TypeFor[uint64](), "float64": reflect.TypeFor[float64](),
}

// earlier returns a type of build e577979, as testdata/e577979/types.go has it.
func earlier(name string) (found reflect.Type) {
	file, err := parser.ParseFile(token.NewFileSet(), "testdata/e577979/types.go", nil, 0)
	So(err, ShouldBeNil)
	ast.Inspect(file, func(node ast.Node) bool {
		if spec, ok := node.(*ast.TypeSpec); ok && spec.Name.Name == name {
			found = typeOf(spec.Type)
		}
		return true
	})
	So(found, ShouldNotBeNil)
	return found
}

func typeOf(expression ast.Expr) reflect.Type {
	switch e := expression.(type) {
	case *ast.Ident:
		So(basicTypes, ShouldContainKey, e.Name)
		return basicTypes[e.Name]
	case *ast.StarExpr:
		return reflect.PointerTo(typeOf(e.X))
	case *ast.ArrayType:
		if length, fixed := e.Len.(*ast.BasicLit); fixed {
			count, err := strconv.Atoi(length.Value)
			So(err, ShouldBeNil)
			return reflect.ArrayOf(count, typeOf(e.Elt))
		}
		return reflect.SliceOf(typeOf(e.Elt))
	case *ast.MapType:
		return reflect.MapOf(typeOf(e.Key), typeOf(e.Value))
	case *ast.StructType:
		var fields []reflect.StructField
		for _, field := range e.Fields.List {
			tag := ""
			if field.Tag != nil {
				tag, _ = strconv.Unquote(field.Tag.Value)
			}
			fields = append(fields, reflect.StructField{Name: field.Names[0].Name, Type: typeOf(field.Type), Tag: reflect.StructTag(tag)})
		}
		return reflect.StructOf(fields)
	default:
		return reflect.TypeFor[time.Time]()
	}
}
