package compat

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/allowance"
	"github.com/peridotreel/peridotreel/internal/decide/origin"
	"github.com/peridotreel/peridotreel/internal/tasks/origins"
	"github.com/peridotreel/peridotreel/internal/tasks/owners"
	"github.com/peridotreel/peridotreel/internal/tasks/peers"
	"github.com/peridotreel/peridotreel/internal/tunnel"
)

func sample(name string) []byte {
	raw, err := os.ReadFile(filepath.Join("testdata", "e577979", name))
	So(err, ShouldBeNil)
	return raw
}

func encode(value any) []byte {
	var out bytes.Buffer
	So(gob.NewEncoder(&out).Encode(value), ShouldBeNil)
	return out.Bytes()
}

func decode[T any](raw []byte) T {
	var value T
	So(gob.NewDecoder(bytes.NewReader(raw)).Decode(&value), ShouldBeNil)
	return value
}

// checkMessage checks that a recorded message of the earlier build is read in full, and
// that all which the earlier build knows of a message of this build is read there.
func checkMessage[Earlier, Present any](name string) {
	Convey("Given "+name, func() {
		known := filled[Earlier]()
		read := decode[Present](sample(name + ".gob"))
		So(decode[Earlier](encode(read)), ShouldResemble, known)
		So(decode[Earlier](encode(filled[Present]())), ShouldResemble, known)
	})
}

// Guards against a message between hosts that a build of the other side of a rolling
// upgrade cannot read, or of which it loses a field that it knows.
func TestMessagesOfTheEarlierBuild(t *testing.T) {
	Convey("Messages between hosts are read by both builds", t, func() {
		checkMessage[earlierExchangeArgs, peers.Args]("peers_exchange_args")
		checkMessage[earlierExchangeReply, peers.Reply]("peers_exchange_reply")
		checkMessage[earlierRecallArgs, peers.RecallArgs]("peers_recall_args")
		checkMessage[int64, core.Tokens]("peers_recall_reply")
		checkMessage[earlierReserveArgs, owners.ReserveArgs]("owners_reserve_args")
		checkMessage[earlierReserveReply, owners.ReserveReply]("owners_reserve_reply")
		checkMessage[earlierSettlements, []owners.Settlement]("owners_settle_args")
		checkMessage[int, int]("owners_settle_reply")
		checkMessage[earlierRecordsArgs, origins.RecordsArgs]("origins_records_args")
		checkMessage[struct{}, struct{}]("origins_records_reply")
		checkMessage[string, string]("origins_find_args")
		checkMessage[earlierFindReply, origins.FindReply]("origins_find_reply")
	})
}

// row is a value of the store that is read, changed and written by hosts of both builds.
type row interface{ Encode() ([]byte, error) }

// checkRow checks that a recorded row is read in full, and that the earlier build, which
// reads a row and writes it again, drops no field of this build.
func checkRow[Earlier any, Present row](name string, read func(raw []byte) (Present, error)) {
	Convey("Given "+name, func() {
		recorded, err := read(sample(name))
		So(err, ShouldBeNil)
		raw, err := recorded.Encode()
		So(err, ShouldBeNil)
		So(fields(raw), ShouldResemble, fields(sample(name)))
		raw, err = filled[Present]().Encode()
		So(err, ShouldBeNil)
		var known Earlier
		So(json.Unmarshal(raw, &known), ShouldBeNil)
		So(known, ShouldResemble, filled[Earlier]())
		written, err := json.Marshal(known)
		So(err, ShouldBeNil)
		So(fields(written), ShouldResemble, fields(raw))
	})
}

func fields(raw []byte) (value any) {
	So(json.Unmarshal(raw, &value), ShouldBeNil)
	return value
}

// Guards against a row of the store that a build of the other side of a rolling upgrade
// cannot read, and against a field that is lost once that build writes the row.
func TestRowsOfTheEarlierBuild(t *testing.T) {
	Convey("Rows of the store are read and kept by both builds", t, func() {
		checkRow[earlierLedger]("ledger.json", allowance.DecodeLedger)
		checkRow[earlierPledges]("pledges.json", allowance.DecodePledgeRecord)
		checkRow[earlierHistory]("software.json", origin.DecodeHistory)
	})
}

// Guards against tunnels that cannot be set up between two builds.
func TestTunnelsOfTheEarlierBuild(t *testing.T) {
	Convey("The opening and the answer of a tunnel are read, and written as before", t, func() {
		opening := sample("tunnel_opening.bin")
		So(opening[0], ShouldEqual, tunnel.FirstByte)
		request, err := tunnel.ReadRequest(bytes.NewReader(opening[1:]))
		So(err, ShouldBeNil)
		So(request, ShouldResemble, filled[tunnel.Request]())
		var out bytes.Buffer
		So(tunnel.WriteRequest(&out, request), ShouldBeNil)
		So(out.Bytes(), ShouldResemble, opening)
		answer, err := tunnel.ReadAnswer(bytes.NewReader(sample("tunnel_answer.bin")))
		So(err, ShouldBeNil)
		So(answer, ShouldResemble, tunnel.Answer{Status: tunnel.NotNow, Wait: 1500 * time.Millisecond, Reason: "the upstream leaves"})
		out.Reset()
		So(tunnel.WriteAnswer(&out, answer), ShouldBeNil)
		So(out.Bytes(), ShouldResemble, sample("tunnel_answer.bin"))
	})
}
