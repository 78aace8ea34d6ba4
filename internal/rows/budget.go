// Package rows encodes and decodes the rows of the platform's table, and the
// objects that belong to them, as JSON. Each kind of row has its own file.
package rows

import (
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/budget"
	"github.com/peridotreel/peridotreel/internal/platform"
)

// The key prefixes of the rows of prepaid budgets.
const (
	BudgetPrefix = "budget/"
	SharePrefix  = "share/"
	TopUpPrefix  = "topup/"
)

// BudgetKey returns the key of a budget's row. Identifiers in keys are escaped,
// so that a slash in one cannot produce the key of another row.
func BudgetKey(id core.BudgetID) string {
	return BudgetPrefix + url.PathEscape(string(id))
}

// ShareKey returns the key of a share's row.
func ShareKey(id core.ShareID) string {
	return BudgetSharesPrefix(id.Budget) + url.PathEscape(string(id.Holder.Host)) +
		"/" + strconv.FormatUint(uint64(id.Holder.Incarnation), 10)
}

// BudgetSharesPrefix returns the key prefix of all shares of a budget.
func BudgetSharesPrefix(id core.BudgetID) string {
	return SharePrefix + url.PathEscape(string(id)) + "/"
}

// TopUpKey returns the key of a top-up's row.
func TopUpKey(id core.BudgetID, token string) string {
	return TopUpPrefix + url.PathEscape(string(id)) + "/" + url.PathEscape(token)
}

type budgetJSON struct {
	Prepaid core.Tokens `json:"prepaid"`
	Drawn   core.Tokens `json:"drawn"`
}

type shareJSON struct {
	Granted    core.Tokens  `json:"granted"`
	Billed     core.Tokens  `json:"billed"`
	Credited   core.Tokens  `json:"credited,omitempty"`
	Returned   core.Tokens  `json:"returned"`
	Moved      core.Tokens  `json:"moved,omitempty"`
	WrittenOff core.Tokens  `json:"written_off,omitempty"`
	Sequence   uint64       `json:"sequence"`
	RenewedAt  time.Time    `json:"renewed_at"`
	State      budget.State `json:"state"`
}

type topUpJSON struct {
	Amount core.Tokens `json:"amount"`
}

// splitKey splits the part of a key after its prefix into count identifiers and
// unescapes them.
func splitKey(key, prefix string, count int) ([]string, error) {
	rest, found := strings.CutPrefix(key, prefix)
	fields := strings.Split(rest, "/")
	if !found || len(fields) != count {
		return nil, fmt.Errorf("row key %q must be %s followed by %d parts", key, prefix, count)
	}
	for i, field := range fields {
		text, err := url.PathUnescape(field)
		if err != nil || text == "" {
			return nil, fmt.Errorf("row key %q: part %d must be an escaped name", key, i+1)
		}
		fields[i] = text
	}
	return fields, nil
}

func decodeRow(row platform.Row, into any) error {
	if err := json.Unmarshal(row.Value, into); err != nil {
		return fmt.Errorf("row %s must be a JSON object: %w", row.Key, err)
	}
	return nil
}

// DecodeBudget decodes a budget row.
func DecodeBudget(row platform.Row) (budget.Budget, error) {
	names, err := splitKey(row.Key, BudgetPrefix, 1)
	if err != nil {
		return budget.Budget{}, err
	}
	var content budgetJSON
	if err := decodeRow(row, &content); err != nil {
		return budget.Budget{}, err
	}
	value := budget.Budget{
		ID: core.BudgetID(names[0]), Prepaid: content.Prepaid, Drawn: content.Drawn, Version: row.Version,
	}
	return value, value.Validate()
}

// DecodeShare decodes a share row.
func DecodeShare(row platform.Row) (budget.Share, error) {
	names, err := splitKey(row.Key, SharePrefix, 3)
	if err != nil {
		return budget.Share{}, err
	}
	incarnation, err := strconv.ParseUint(names[2], 10, 64)
	if err != nil {
		return budget.Share{}, fmt.Errorf("row key %q: the incarnation must be a number: %w", row.Key, err)
	}
	var content shareJSON
	if err := decodeRow(row, &content); err != nil {
		return budget.Share{}, err
	}
	value := budget.Share{
		ID: core.ShareID{Budget: core.BudgetID(names[0]), Holder: core.HostRef{
			Host: core.HostID(names[1]), Incarnation: core.Incarnation(incarnation),
		}},
		Granted: content.Granted, Billed: content.Billed, Credited: content.Credited, Returned: content.Returned, Moved: content.Moved,
		WrittenOff: content.WrittenOff, Sequence: content.Sequence, Renewed: content.RenewedAt,
		State: content.State, Version: row.Version,
	}
	return value, value.Validate()
}

// DecodeTopUp decodes a top-up row.
func DecodeTopUp(row platform.Row) (budget.TopUp, error) {
	names, err := splitKey(row.Key, TopUpPrefix, 2)
	if err != nil {
		return budget.TopUp{}, err
	}
	var content topUpJSON
	if err := decodeRow(row, &content); err != nil {
		return budget.TopUp{}, err
	}
	value := budget.TopUp{Budget: core.BudgetID(names[0]), Token: names[1], Amount: content.Amount, Version: row.Version}
	return value, value.Validate()
}

// EncodeBudget returns the value of a budget row.
func EncodeBudget(value budget.Budget) ([]byte, error) {
	return json.Marshal(budgetJSON{Prepaid: value.Prepaid, Drawn: value.Drawn})
}

// EncodeShare returns the value of a share row.
func EncodeShare(value budget.Share) ([]byte, error) {
	return json.Marshal(shareJSON{
		Granted: value.Granted, Billed: value.Billed, Credited: value.Credited, Returned: value.Returned, Moved: value.Moved,
		WrittenOff: value.WrittenOff, Sequence: value.Sequence, RenewedAt: value.Renewed, State: value.State,
	})
}

// EncodeTopUp returns the value of a top-up row.
func EncodeTopUp(value budget.TopUp) ([]byte, error) {
	return json.Marshal(topUpJSON{Amount: value.Amount})
}

// BudgetCommit returns the conditional commit that applies a change.
func BudgetCommit(token string, change budget.Change) (platform.Commit, error) {
	commit := platform.Commit{Token: token}
	add := func(key string, version int64, value []byte, err error) error {
		commit.Conditions = append(commit.Conditions, platform.Condition{Key: key, Version: version})
		commit.Writes = append(commit.Writes, platform.Write{Key: key, Value: value})
		return err
	}
	for _, row := range change.Budgets {
		value, err := EncodeBudget(row)
		if err := add(BudgetKey(row.ID), row.Version, value, err); err != nil {
			return platform.Commit{}, err
		}
	}
	for _, row := range change.Shares {
		value, err := EncodeShare(row)
		if err := add(ShareKey(row.ID), row.Version, value, err); err != nil {
			return platform.Commit{}, err
		}
	}
	for _, row := range change.TopUps {
		value, err := EncodeTopUp(row)
		if err := add(TopUpKey(row.Budget, row.Token), row.Version, value, err); err != nil {
			return platform.Commit{}, err
		}
	}
	return commit, nil
}

// BudgetRows are decoded rows of prepaid budgets.
type BudgetRows struct {
	Budgets []budget.Budget
	Shares  []budget.Share
	TopUps  []budget.TopUp
}

// DecodeBudgetRows decodes the budget, share and top-up rows and skips others.
func DecodeBudgetRows(read []platform.Row) (BudgetRows, error) {
	var result BudgetRows
	for _, row := range read {
		switch {
		case strings.HasPrefix(row.Key, BudgetPrefix):
			value, err := DecodeBudget(row)
			if err != nil {
				return BudgetRows{}, err
			}
			result.Budgets = append(result.Budgets, value)
		case strings.HasPrefix(row.Key, SharePrefix):
			value, err := DecodeShare(row)
			if err != nil {
				return BudgetRows{}, err
			}
			result.Shares = append(result.Shares, value)
		case strings.HasPrefix(row.Key, TopUpPrefix):
			value, err := DecodeTopUp(row)
			if err != nil {
				return BudgetRows{}, err
			}
			result.TopUps = append(result.TopUps, value)
		}
	}
	return result, nil
}
