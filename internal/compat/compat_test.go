package compat

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/decide/allowance"
	"github.com/peridotreel/peridotreel/internal/decide/origin"
	"github.com/peridotreel/peridotreel/internal/tasks/admitter"
	"github.com/peridotreel/peridotreel/internal/tasks/bills"
	"github.com/peridotreel/peridotreel/internal/tasks/calls"
	"github.com/peridotreel/peridotreel/internal/tasks/members"
	"github.com/peridotreel/peridotreel/internal/tasks/origins"
	"github.com/peridotreel/peridotreel/internal/tasks/owners"
	"github.com/peridotreel/peridotreel/internal/tasks/peers"
	"github.com/peridotreel/peridotreel/internal/tasks/shares"
	"github.com/peridotreel/peridotreel/internal/tasks/teams"
	"github.com/peridotreel/peridotreel/internal/tunnel"
)

func sample(name string) []byte {
	raw, err := os.ReadFile(filepath.Join("testdata", "e577979", name))
	So(err, ShouldBeNil)
	return raw
}

// messages are the samples of messages, each with the type that e577979 writes, and the one
// that is written and read now.
var messages = map[string]struct {
	earlier string
	present reflect.Type
}{
	"peers_exchange_args":        {"ExchangeArgs", reflect.TypeFor[peers.Args]()},
	"peers_exchange_reply":       {"ExchangeReply", reflect.TypeFor[peers.Reply]()},
	"peers_recall_args":          {"RecallArgs", reflect.TypeFor[peers.RecallArgs]()},
	"owners_reserve_args":        {"ReserveArgs", reflect.TypeFor[owners.ReserveArgs]()},
	"owners_reserve_reply":       {"ReserveReply", reflect.TypeFor[owners.ReserveReply]()},
	"owners_settle_args":         {"Settlements", reflect.TypeFor[[]owners.Settlement]()},
	"origins_records_args":       {"RecordsArgs", reflect.TypeFor[origins.RecordsArgs]()},
	"origins_find_reply":         {"FindReply", reflect.TypeFor[origins.FindReply]()},
	"teams_since_args":           {"TeamsSinceArgs", reflect.TypeFor[teams.SinceArgs]()},
	"teams_since_reply":          {"TeamsSinceReply", reflect.TypeFor[teams.SinceReply]()},
	"bills_replicate_args":       {"BillsReplicateArgs", reflect.TypeFor[bills.ReplicateArgs]()},
	"bills_replicate_reply":      {"BillsReplicateReply", reflect.TypeFor[bills.ReplicateReply]()},
	"bills_acknowledge_args":     {"BillsAcknowledgeArgs", reflect.TypeFor[bills.AcknowledgeArgs]()},
	"bills_acknowledge_reply":    {"BillsAcknowledgeReply", reflect.TypeFor[bills.AcknowledgeReply]()},
	"calls_update_args":          {"CallsUpdateArgs", reflect.TypeFor[calls.UpdateArgs]()},
	"calls_update_reply":         {"CallsUpdateReply", reflect.TypeFor[calls.UpdateReply]()},
	"calls_find_args":            {"CallsFindArgs", reflect.TypeFor[calls.FindArgs]()},
	"calls_find_reply":           {"CallsFindReply", reflect.TypeFor[calls.FindReply]()},
	"admitter_exchange_args":     {"AdmitterExchangeArgs", reflect.TypeFor[admitter.Exchange]()},
	"admitter_exchange_reply":    {"AdmitterExchangeReply", reflect.TypeFor[admitter.Grants]()},
	"members_ping":               {"MembersPing", reflect.TypeFor[members.WireMessage]()},
	"members_page_args":          {"MembersPageArgs", reflect.TypeFor[members.PageArgs]()},
	"members_page_reply":         {"MembersPageReply", reflect.TypeFor[members.PageReply]()},
	"members_ping_request_args":  {"MembersPingRequestArgs", reflect.TypeFor[members.PingRequestArgs]()},
	"members_ping_request_reply": {"MembersPingRequestReply", reflect.TypeFor[members.PingRequestReply]()},
	"shares_draw_args":           {"SharesDrawArgs", reflect.TypeFor[shares.DrawArgs]()},
	"shares_return_args":         {"SharesReturnArgs", reflect.TypeFor[shares.ReturnArgs]()},
	"shares_ledger_reply":        {"SharesLedgerReply", reflect.TypeFor[shares.LedgerReply]()},
	"shares_recall_args":         {"SharesRecallArgs", reflect.TypeFor[shares.RecallArgs]()},
	"shares_recall_reply":        {"SharesRecallReply", reflect.TypeFor[shares.RecallReply]()},
}

// recode encodes a value and decodes it as another type, into which it returns a pointer.
func recode(value any, into reflect.Type) any {
	var raw bytes.Buffer
	So(gob.NewEncoder(&raw).Encode(value), ShouldBeNil)
	return decode(raw.Bytes(), into)
}

func decode(raw []byte, into reflect.Type) any {
	value := reflect.New(into).Interface()
	So(gob.NewDecoder(bytes.NewReader(raw)).Decode(value), ShouldBeNil)
	return value
}

// Guards against a message between hosts that a build of the other side of a rolling
// upgrade cannot read, or of which it loses a field that it knows. Replies that are a
// number or a text alone, and the empty one, are not among them.
func TestMessagesOfTheEarlierBuild(t *testing.T) {
	Convey("Recorded messages are read in full, and the earlier build reads what it knows of those of this build", t, func() {
		for name, message := range messages {
			known := earlier(message.earlier)
			read := decode(sample(name+".gob"), message.present)
			SoMsg(name, recode(read, known), ShouldResemble, filled(known))
			SoMsg(name, recode(filled(message.present), known), ShouldResemble, filled(known))
		}
	})
}

// row is a value of the store that is read, changed and written by hosts of both builds.
type row interface{ Encode() ([]byte, error) }

// checkRow checks that a recorded row is read in full, and that the earlier build, which
// reads a row and writes it again, drops no field of this build but the given ones. Each
// is the path of a field that may be lost, as the rest of the row allows less then.
func checkRow[Present row](name, earlierName string, read func(raw []byte) (Present, error), dropped ...[]string) {
	recorded, err := read(sample(name))
	So(err, ShouldBeNil)
	raw, err := recorded.Encode()
	So(err, ShouldBeNil)
	So(fields(raw), ShouldResemble, fields(sample(name)))
	raw, err = json.Marshal(filled(reflect.TypeFor[Present]()))
	So(err, ShouldBeNil)
	known := reflect.New(earlier(earlierName)).Interface()
	So(json.Unmarshal(raw, known), ShouldBeNil)
	So(known, ShouldResemble, filled(earlier(earlierName)))
	written, err := json.Marshal(known)
	So(err, ShouldBeNil)
	expected := fields(raw)
	for _, path := range dropped {
		removeField(expected, path)
	}
	So(fields(written), ShouldResemble, expected)
}

func removeField(value any, path []string) {
	object, isObject := value.(map[string]any)
	So(isObject, ShouldBeTrue)
	if path[0] == "*" {
		for _, element := range object {
			removeField(element, path[1:])
		}
		return
	}
	So(object, ShouldContainKey, path[0])
	if len(path) == 1 {
		delete(object, path[0])
		return
	}
	removeField(object[path[0]], path[1:])
}

func fields(raw []byte) (value any) {
	So(json.Unmarshal(raw, &value), ShouldBeNil)
	return value
}

// Guards against a row of the store that a build of the other side of a rolling upgrade
// cannot read, and against a field that is lost once that build writes the row.
func TestRowsOfTheEarlierBuild(t *testing.T) {
	Convey("Rows of the store are read and kept by both builds", t, func() {
		// TestALedgerWrittenByAnEarlierBuildWithholdsNoLess shows it for what is withheld. A
		// holding without the time of its write counts as spent in a plan, which then
		// withholds less.
		checkRow("ledger.json", "Ledger", allowance.DecodeLedger, []string{"withheld", "s"}, []string{"withheld", "c"}, []string{"replaced", "s"}, []string{"holdings", "*", "w"})
		checkRow("pledges.json", "Pledges", allowance.DecodePledgeRecord)
		checkRow("software.json", "History", origin.DecodeHistory)
	})
}

// Guards against tunnels that cannot be set up between two builds.
func TestTunnelsOfTheEarlierBuild(t *testing.T) {
	Convey("The opening and the answer of a tunnel are read, and written as before", t, func() {
		opening := sample("tunnel_opening.bin")
		So(opening[0], ShouldEqual, tunnel.FirstByte)
		request, err := tunnel.ReadRequest(bytes.NewReader(opening[1:]))
		So(err, ShouldBeNil)
		So(&request, ShouldResemble, filled(reflect.TypeFor[tunnel.Request]()))
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
