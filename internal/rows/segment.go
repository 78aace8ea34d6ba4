// Package rows holds the JSON forms of the rows in the platform's table and
// of the objects that belong to them, one file for each kind of row.
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

// SegmentPrefix is the prefix of the rows with the heads of journals.
const SegmentPrefix = "segment/"

// SegmentOwner returns the host process of a key built by SegmentKey.
func SegmentOwner(key string) (core.HostRef, error) {
	fields, err := parts(key, SegmentPrefix, 2)
	if err != nil {
		return core.HostRef{}, err
	}
	incarnation, err := strconv.ParseUint(fields[1], 10, 64)
	if err != nil {
		return core.HostRef{}, fmt.Errorf("row key %q must end in the number of an incarnation: %w", key, err)
	}
	return core.HostRef{Host: core.HostID(fields[0]), Incarnation: core.Incarnation(incarnation)}, nil
}

// SegmentKey returns the key of the row with the head of a journal of bills.
func SegmentKey(owner core.HostRef) string {
	return fmt.Sprintf(SegmentPrefix+"%s/%d", url.PathEscape(string(owner.Host)), owner.Incarnation)
}

// SegmentObject returns the name of the object with a segment's bills. It
// contains the mark, so that a write that is delayed never replaces the
// object of another writer.
func SegmentObject(owner core.HostRef, number uint64, mark billing.WriteID) string {
	return fmt.Sprintf("%s/%d/%s/%d/%d", SegmentKey(owner), number,
		url.PathEscape(string(mark.Writer.Host)), mark.Writer.Incarnation, mark.Attempt)
}

// BillKey returns the key of the row that marks a request as billed.
func BillKey(request core.RequestID) string {
	return "bill/" + request.String()
}

// BillRequest returns the request of a key built by BillKey.
func BillRequest(key string) (core.RequestID, bool) {
	const prefix = "bill/"
	if len(key) <= len(prefix) || key[:len(prefix)] != prefix {
		return core.RequestID{}, false
	}
	request, err := core.ParseRequestID(key[len(prefix):])
	return request, err == nil
}

type billingHost struct {
	Host        core.HostID      `json:"host"`
	Incarnation core.Incarnation `json:"incarnation"`
}

func billingHostOf(ref core.HostRef) billingHost { return billingHost{ref.Host, ref.Incarnation} }

func (f billingHost) ref() core.HostRef {
	return core.HostRef{Host: f.Host, Incarnation: f.Incarnation}
}

type segmentMark struct {
	By      billingHost `json:"by"`
	Attempt uint64      `json:"attempt"`
}

func segmentMarkOf(mark billing.WriteID) segmentMark {
	return segmentMark{billingHostOf(mark.Writer), mark.Attempt}
}

func (f segmentMark) mark() billing.WriteID {
	return billing.WriteID{Writer: f.By.ref(), Attempt: f.Attempt}
}

type headForm struct {
	Number uint64      `json:"number"`
	Mark   segmentMark `json:"mark"`
	Count  uint64      `json:"count"`
	Tokens core.Tokens `json:"tokens"`
}

// EncodeHead returns the value of a segment row.
func EncodeHead(head billing.Head) []byte {
	return marshalBilling(headForm{head.Number, segmentMarkOf(head.WriteID), head.Count, head.Tokens})
}

// DecodeHead reads the value of a segment row.
func DecodeHead(value []byte) (billing.Head, error) {
	var form headForm
	if err := json.Unmarshal(value, &form); err != nil {
		return billing.Head{}, fmt.Errorf("segment row: %w; repair the row from its object", err)
	}
	if form.Number == 0 {
		return billing.Head{}, fmt.Errorf("segment row: number must be 1 or more; repair the row from its object")
	}
	return billing.Head{Number: form.Number, WriteID: form.Mark.mark(), Count: form.Count, Tokens: form.Tokens}, nil
}

type billForm struct {
	Request   string         `json:"request"`
	Keyed     bool           `json:"keyed,omitempty"`
	Team      core.TeamName  `json:"team"`
	Class     core.ClassName `json:"class"`
	Budget    core.BudgetID  `json:"budget"`
	Holder    billingHost    `json:"holder"`
	Prompt    core.Tokens    `json:"prompt"`
	Generated core.Tokens    `json:"generated"`
	Cost      core.Tokens    `json:"cost"`
	Finished  time.Time      `json:"finished"`
}

func billOf(bill *core.Bill) billForm {
	return billForm{
		bill.Request.String(), bill.Keyed, bill.Team, bill.Class, bill.Share.Budget,
		billingHostOf(bill.Share.Holder), bill.Usage.Prompt, bill.Usage.Generated, bill.Cost, bill.Finished.UTC(),
	}
}

func (f *billForm) bill() (core.Bill, error) {
	request, err := core.ParseRequestID(f.Request)
	if err != nil {
		return core.Bill{}, fmt.Errorf("bill: %w", err)
	}
	if f.Cost < 0 {
		return core.Bill{}, fmt.Errorf("bill %s: cost is %d; it must be 0 or more", f.Request, f.Cost)
	}
	// JSON has no form for other years.
	finished := f.Finished.UTC()
	if year := finished.Year(); year < 0 || year > 9999 {
		return core.Bill{}, fmt.Errorf("bill %s: finish time is in the year %d; it must be from 0 to 9999", f.Request, year)
	}
	return core.Bill{
		Request: request, Keyed: f.Keyed, Team: f.Team, Class: f.Class,
		Share: core.ShareID{Budget: f.Budget, Holder: f.Holder.ref()},
		Usage: core.Usage{Prompt: f.Prompt, Generated: f.Generated}, Cost: f.Cost, Finished: finished,
	}, nil
}

// EncodeBill returns the value of a bill row.
func EncodeBill(bill core.Bill) []byte {
	return marshalBilling(billOf(&bill))
}

// DecodeBill reads the value of a bill row.
func DecodeBill(value []byte) (core.Bill, error) {
	var form billForm
	if err := json.Unmarshal(value, &form); err != nil {
		return core.Bill{}, fmt.Errorf("bill row: %w", err)
	}
	return form.bill()
}

type segmentForm struct {
	Owner    billingHost `json:"owner"`
	Number   uint64      `json:"number"`
	Mark     segmentMark `json:"mark"`
	Previous segmentMark `json:"previous"`
	Bills    []billForm  `json:"bills"`
}

// EncodeSegment returns the content of a segment's object: JSON, compressed.
func EncodeSegment(segment billing.Segment) []byte {
	form := segmentForm{billingHostOf(segment.Owner), segment.Number, segmentMarkOf(segment.WriteID), segmentMarkOf(segment.Previous), nil}
	for i := range segment.Bills {
		form.Bills = append(form.Bills, billOf(&segment.Bills[i]))
	}
	return compress(marshalBilling(form))
}

// DecodeSegment reads the content of a segment's object.
func DecodeSegment(content []byte) (billing.Segment, error) {
	content, err := decompress(content)
	if err != nil {
		return billing.Segment{}, fmt.Errorf("segment object: %w; restore the object", err)
	}
	var form segmentForm
	if err := json.Unmarshal(content, &form); err != nil {
		return billing.Segment{}, fmt.Errorf("segment object: %w", err)
	}
	segment := billing.Segment{
		Owner: form.Owner.ref(), Number: form.Number, WriteID: form.Mark.mark(), Previous: form.Previous.mark(),
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

// marshalBilling marshals a form. The forms hold no value that JSON can't express, so
// an error is a fault of this package.
func marshalBilling(form any) []byte {
	value, err := json.Marshal(form)
	if err != nil {
		panic(fmt.Sprintf("rows: encode %T: %v", form, err))
	}
	return value
}
