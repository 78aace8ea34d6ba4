package rows

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"sync"
)

// maxObjectBytes is the maximum size of an object after decompression. A segment
// of 2,000 bills is about 500 KB of JSON.
const maxObjectBytes = 16 << 20

// gzipWriters reuses compressors, because each allocates about 1 MB of tables.
var gzipWriters = sync.Pool{New: func() any {
	// The level is valid, which is the only possible error.
	writer, _ := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed)
	return writer
}}

// compress returns content compressed with gzip. The bills of one host repeat
// their field names, budgets and holder, and the fastest level already removes
// most of this repetition.
func compress(content []byte) []byte {
	var packed bytes.Buffer
	writer := gzipWriters.Get().(*gzip.Writer)
	defer gzipWriters.Put(writer)
	writer.Reset(&packed)
	// A write to memory does not fail.
	_, _ = writer.Write(content)
	_ = writer.Close()
	return packed.Bytes()
}

// decompress decompresses gzip data. It returns other content unchanged, so that
// objects stored without compression stay readable.
func decompress(content []byte) ([]byte, error) {
	if !bytes.HasPrefix(content, []byte{0x1f, 0x8b}) {
		return content, nil
	}
	reader, err := gzip.NewReader(bytes.NewReader(content))
	if err != nil {
		return nil, err
	}
	plain, err := io.ReadAll(io.LimitReader(reader, maxObjectBytes+1))
	if err == nil && len(plain) > maxObjectBytes {
		return nil, fmt.Errorf("the object is larger than %d bytes after decompression", maxObjectBytes)
	}
	return plain, err
}
