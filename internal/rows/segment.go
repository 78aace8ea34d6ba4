package rows

import (
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/billing"
)

// HeadPrefix is the key prefix of the rows with the heads of journals.
const HeadPrefix = "segment/"

// ParseHeadKey returns the host process of a key built by HeadKey.
func ParseHeadKey(key string) (core.HostRef, error) {
	fields, err := splitKey(key, HeadPrefix, 2)
	if err != nil {
		return core.HostRef{}, err
	}
	incarnation, err := strconv.ParseUint(fields[1], 10, 64)
	if err != nil {
		return core.HostRef{}, fmt.Errorf("row key %q must end in the number of an incarnation: %w", key, err)
	}
	return core.HostRef{Host: core.HostID(fields[0]), Incarnation: core.Incarnation(incarnation)}, nil
}

// HeadKey returns the key of the row with the head of a host process's journal.
func HeadKey(owner core.HostRef) string {
	return fmt.Sprintf(HeadPrefix+"%s/%d", url.PathEscape(string(owner.Host)), owner.Incarnation)
}

// SegmentObjectName returns the name of the object with a segment's bills. It
// contains the write ID, so that a delayed write never replaces the object of
// another writer.
func SegmentObjectName(owner core.HostRef, number uint64, writeID billing.WriteID) string {
	return fmt.Sprintf("%s/%d/%s/%d/%d", HeadKey(owner), number,
		url.PathEscape(string(writeID.Writer.Host)), writeID.Writer.Incarnation, writeID.Attempt)
}

// BillKey returns the key of the row that marks a request as billed.
func BillKey(request core.RequestID) string {
	return "bill/" + request.String()
}

// ParseBillKey returns the request of a key built by BillKey.
func ParseBillKey(key string) (core.RequestID, bool) {
	const prefix = "bill/"
	if len(key) <= len(prefix) || key[:len(prefix)] != prefix {
		return core.RequestID{}, false
	}
	request, err := core.ParseRequestID(key[len(prefix):])
	return request, err == nil
}

type hostRefJSON struct {
	Host        core.HostID      `json:"host"`
	Incarnation core.Incarnation `json:"incarnation"`
}

func newHostRefJSON(ref core.HostRef) hostRefJSON { return hostRefJSON{ref.Host, ref.Incarnation} }

func (h hostRefJSON) hostRef() core.HostRef {
	return core.HostRef{Host: h.Host, Incarnation: h.Incarnation}
}

type writeIDJSON struct {
	By      hostRefJSON `json:"by"`
	Attempt uint64      `json:"attempt"`
}

func newWriteIDJSON(id billing.WriteID) writeIDJSON {
	return writeIDJSON{newHostRefJSON(id.Writer), id.Attempt}
}

func (w writeIDJSON) writeID() billing.WriteID {
	return billing.WriteID{Writer: w.By.hostRef(), Attempt: w.Attempt}
}

type headJSON struct {
	Number uint64      `json:"number"`
	Mark   writeIDJSON `json:"mark"`
	Count  uint64      `json:"count"`
	Tokens core.Tokens `json:"tokens"`
}

// EncodeHead returns the value of a head's row.
func EncodeHead(head billing.Head) []byte {
	return mustMarshal(headJSON{head.Number, newWriteIDJSON(head.WriteID), head.Count, head.Tokens})
}

// DecodeHead decodes the value of a head's row.
func DecodeHead(value []byte) (billing.Head, error) {
	var form headJSON
	if err := json.Unmarshal(value, &form); err != nil {
		return billing.Head{}, fmt.Errorf("segment row: %w; repair the row from its object", err)
	}
	if form.Number == 0 {
		return billing.Head{}, fmt.Errorf("segment row: number must be 1 or more; repair the row from its object")
	}
	return billing.Head{Number: form.Number, WriteID: form.Mark.writeID(), Count: form.Count, Tokens: form.Tokens}, nil
}

type billJSON struct {
	Request   string         `json:"request"`
	Keyed     bool           `json:"keyed,omitempty"`
	Team      core.TeamName  `json:"team"`
	Class     core.ClassName `json:"class"`
	Budget    core.BudgetID  `json:"budget"`
	Holder    hostRefJSON    `json:"holder"`
	Prompt    core.Tokens    `json:"prompt"`
	Generated core.Tokens    `json:"generated"`
	Cost      core.Tokens    `json:"cost"`
	Finished  time.Time      `json:"finished"`
}

func newBillJSON(bill *core.Bill) billJSON {
	return billJSON{
		bill.Request.String(), bill.Keyed, bill.Team, bill.Class, bill.Share.Budget,
		newHostRefJSON(bill.Share.Holder), bill.Usage.Prompt, bill.Usage.Generated, bill.Cost, bill.Finished.UTC(),
	}
}

func (b *billJSON) bill() (core.Bill, error) {
	request, err := core.ParseRequestID(b.Request)
	if err != nil {
		return core.Bill{}, fmt.Errorf("bill: %w", err)
	}
	if b.Cost < 0 {
		return core.Bill{}, fmt.Errorf("bill %s: cost is %d; it must be 0 or more", b.Request, b.Cost)
	}
	// time.Time cannot be encoded as JSON for other years.
	finished := b.Finished.UTC()
	if year := finished.Year(); year < 0 || year > 9999 {
		return core.Bill{}, fmt.Errorf("bill %s: finish time is in the year %d; it must be from 0 to 9999", b.Request, year)
	}
	return core.Bill{
		Request: request, Keyed: b.Keyed, Team: b.Team, Class: b.Class,
		Share: core.ShareID{Budget: b.Budget, Holder: b.Holder.hostRef()},
		Usage: core.Usage{Prompt: b.Prompt, Generated: b.Generated}, Cost: b.Cost, Finished: finished,
	}, nil
}

// EncodeBill returns the value of a bill row.
func EncodeBill(bill core.Bill) []byte {
	return mustMarshal(newBillJSON(&bill))
}

// DecodeBill decodes the value of a bill row.
func DecodeBill(value []byte) (core.Bill, error) {
	var form billJSON
	if err := json.Unmarshal(value, &form); err != nil {
		return core.Bill{}, fmt.Errorf("bill row: %w", err)
	}
	return form.bill()
}

type segmentJSON struct {
	Owner    hostRefJSON `json:"owner"`
	Number   uint64      `json:"number"`
	Mark     writeIDJSON `json:"mark"`
	Previous writeIDJSON `json:"previous"`
	Bills    []billJSON  `json:"bills"`
}

// EncodeSegment returns the content of a segment's object, which is compressed
// JSON.
func EncodeSegment(segment billing.Segment) []byte {
	form := segmentJSON{newHostRefJSON(segment.Owner), segment.Number, newWriteIDJSON(segment.WriteID), newWriteIDJSON(segment.Previous), nil}
	for i := range segment.Bills {
		form.Bills = append(form.Bills, newBillJSON(&segment.Bills[i]))
	}
	return compress(mustMarshal(form))
}

// DecodeSegment decodes the content of a segment's object.
func DecodeSegment(content []byte) (billing.Segment, error) {
	content, err := decompress(content)
	if err != nil {
		return billing.Segment{}, fmt.Errorf("segment object: %w; restore the object", err)
	}
	var form segmentJSON
	if err := json.Unmarshal(content, &form); err != nil {
		return billing.Segment{}, fmt.Errorf("segment object: %w", err)
	}
	segment := billing.Segment{
		Owner: form.Owner.hostRef(), Number: form.Number, WriteID: form.Mark.writeID(), Previous: form.Previous.writeID(),
	}
	for i := range form.Bills {
		bill, err := form.Bills[i].bill()
		if err != nil {
			return billing.Segment{}, fmt.Errorf("segment object: bill %d: %w", i, err)
		}
		segment.Bills = append(segment.Bills, bill)
	}
	return segment, nil
}

// mustMarshal marshals one of the JSON types of this package. They hold no value
// that JSON cannot represent, so an error is a bug in this package.
func mustMarshal(form any) []byte {
	value, err := json.Marshal(form)
	if err != nil {
		panic(fmt.Sprintf("rows: encode %T: %v", form, err))
	}
	return value
}
