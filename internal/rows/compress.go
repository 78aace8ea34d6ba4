package rows

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"sync"
)

// maxObject bounds an object after decompression. A segment of 2,000 bills is
// about 500 KB of JSON.
const maxObject = 16 << 20

// writers keeps the tables of a compressor, about 1 MB, for the next object.
var writers = sync.Pool{New: func() any {
	// The level is valid, which is the only possible error.
	writer, _ := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed)
	return writer
}}

// compress returns content in gzip form. Bills of one host repeat their field
// names, budgets and holder, so the fastest level removes most of them.
func compress(content []byte) []byte {
	var packed bytes.Buffer
	writer := writers.Get().(*gzip.Writer)
	defer writers.Put(writer)
	writer.Reset(&packed)
	// A write to memory does not fail.
	_, _ = writer.Write(content)
	_ = writer.Close()
	return packed.Bytes()
}

// decompress returns the content of a gzip form, and any other content as it
// is, so that objects stored without compression stay readable.
func decompress(content []byte) ([]byte, error) {
	if !bytes.HasPrefix(content, []byte{0x1f, 0x8b}) {
		return content, nil
	}
	reader, err := gzip.NewReader(bytes.NewReader(content))
	if err != nil {
		return nil, err
	}
	plain, err := io.ReadAll(io.LimitReader(reader, maxObject+1))
	if err == nil && len(plain) > maxObject {
		return nil, fmt.Errorf("the object is larger than %d bytes after decompression", maxObject)
	}
	return plain, err
}
