package peerrpc

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

const (
	// writeTimeout bounds a write to a connection whose peer reads nothing.
	writeTimeout = 2 * time.Second
	// idleTimeout closes a connection on which nothing was read. With 330 hosts,
	// each peer is pinged every 110 s on average, so most connections stay open
	// and gob's type descriptions are rarely sent again.
	idleTimeout = 5 * time.Minute
)

// Traffic counts the bytes that a host exchanges with its peers. It is shared
// by the host's Server and Client.
type Traffic struct {
	in, out atomic.Int64
}

// Totals returns the bytes read and written so far.
func (t *Traffic) Totals() (in, out int64) {
	return t.in.Load(), t.out.Load()
}

// Observe exports the totals as the counter peridotreel_fleet_bytes.
func (t *Traffic) Observe(meter metric.Meter) error {
	direction := attribute.Key("direction")
	inward := metric.WithAttributes(direction.String("in"))
	outward := metric.WithAttributes(direction.String("out"))
	_, err := meter.Int64ObservableCounter("peridotreel_fleet_bytes",
		metric.WithUnit("By"), metric.WithDescription("Bytes exchanged with other hosts, without TCP and IP headers."),
		metric.WithInt64Callback(func(_ context.Context, observer metric.Int64Observer) error {
			observer.Observe(t.in.Load(), inward)
			observer.Observe(t.out.Load(), outward)
			return nil
		}))
	return err
}

// countedConn counts bytes and sets a deadline on each read and write.
type countedConn struct {
	net.Conn
	traffic *Traffic
}

func (c countedConn) Read(buffer []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(buffer)
	c.traffic.in.Add(int64(n))
	return n, err
}

func (c countedConn) Write(content []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(content)
	c.traffic.out.Add(int64(n))
	return n, err
}
