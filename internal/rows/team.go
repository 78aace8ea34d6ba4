package rows

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

// The key prefixes of configuration rows.
const (
	TeamPrefix    = "team/"
	ServicePrefix = "service/"
	HistoryPrefix = "history/"
)

// TeamKey returns the key of a team's row.
func TeamKey(team core.TeamName) string {
	return TeamPrefix + string(team)
}

// ServiceKey returns the key of a service's row.
func ServiceKey(service core.ServiceName) string {
	return ServicePrefix + string(service)
}

// HistoryTeamPrefix returns the key prefix of a team's earlier versions.
func HistoryTeamPrefix(team core.TeamName) string {
	return HistoryPrefix + string(team) + "/"
}

// HistoryKey returns the key of the row that stores a replaced version of a
// team's row. Version 0 records the creation of the row.
func HistoryKey(team core.TeamName, version int64) string {
	return HistoryTeamPrefix(team) + strconv.FormatInt(version, 10)
}

// ParseTeamKey returns the team of a key built by TeamKey.
func ParseTeamKey(key string) (core.TeamName, bool) {
	name, found := strings.CutPrefix(key, TeamPrefix)
	return core.TeamName(name), found && name != ""
}

// ParseServiceKey returns the service of a key built by ServiceKey.
func ParseServiceKey(key string) (core.ServiceName, bool) {
	name, found := strings.CutPrefix(key, ServicePrefix)
	return core.ServiceName(name), found && name != ""
}

// duration is encoded as text such as "30s". The empty text is decoded as 0.
type duration time.Duration

func (d duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

func (d *duration) UnmarshalText(text []byte) error {
	if len(text) == 0 {
		*d = 0
		return nil
	}
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration; write it as 30s or 5m", text)
	}
	*d = duration(parsed)
	return nil
}

type teamJSON struct {
	Team            core.TeamName    `json:"team"`
	Weight          int              `json:"weight"`
	Budget          core.BudgetID    `json:"budget"`
	MaxInFlight     int              `json:"max_in_flight"`
	TokensPerSecond core.Tokens      `json:"tokens_per_second"`
	QueueLength     int              `json:"queue_length"`
	Deadline        duration         `json:"deadline"`
	KeyDigests      []string         `json:"key_digests,omitempty"`
	Models          []core.ModelName `json:"models,omitempty"`
	Classes         []classJSON      `json:"classes"`
}

type classJSON struct {
	Name          core.ClassName `json:"name"`
	Priority      int            `json:"priority,omitempty"`
	Long          bool           `json:"long,omitempty"`
	MaxTokens     core.Tokens    `json:"max_tokens"`
	Deadline      duration       `json:"deadline,omitempty"`
	NonIdempotent bool           `json:"non_idempotent,omitempty"`
}

// EncodeTeam returns the value of a team's row. It does not include the version,
// because the table itself counts versions.
func EncodeTeam(row *core.TeamRow) ([]byte, error) {
	form := teamJSON{
		Team: row.Team, Weight: row.Weight, Budget: row.Budget, MaxInFlight: row.MaxInFlight,
		TokensPerSecond: row.TokensPerSecond, QueueLength: row.QueueLength,
		Deadline: duration(row.Deadline), KeyDigests: row.KeyDigests, Models: row.Models,
		Classes: make([]classJSON, len(row.Classes)),
	}
	for i, class := range row.Classes {
		form.Classes[i] = classJSON{
			Name: class.Name, Priority: class.Priority, Long: class.Long, MaxTokens: class.MaxTokens,
			Deadline: duration(class.Deadline), NonIdempotent: class.NonIdempotent,
		}
	}
	return json.Marshal(form)
}

// DecodeTeam decodes and validates a team's row from the table. It ignores
// unknown fields, so that a newer binary may add fields.
func DecodeTeam(team core.TeamName, version int64, value []byte) (*core.TeamRow, error) {
	return decodeTeam(team, version, value, false)
}

// ParseTeam decodes and validates a team's row from an operator. It rejects
// unknown fields, because they are most likely misspelt.
func ParseTeam(team core.TeamName, value []byte) (*core.TeamRow, error) {
	return decodeTeam(team, 0, value, true)
}

func decodeTeam(team core.TeamName, version int64, value []byte, strict bool) (*core.TeamRow, error) {
	var form teamJSON
	if err := decodeObject(value, &form, strict); err != nil {
		return nil, err
	}
	if form.Team != "" && form.Team != team {
		return nil, fmt.Errorf("team: is %q in the row of %q; leave it out or make it equal", form.Team, team)
	}
	row := &core.TeamRow{
		Team: team, Version: version, Weight: form.Weight, Budget: form.Budget, MaxInFlight: form.MaxInFlight,
		TokensPerSecond: form.TokensPerSecond, QueueLength: form.QueueLength,
		Deadline: time.Duration(form.Deadline), KeyDigests: form.KeyDigests, Models: form.Models,
		Classes: make([]core.ClassRow, len(form.Classes)),
	}
	for i, class := range form.Classes {
		row.Classes[i] = core.ClassRow{
			Name: class.Name, Priority: class.Priority, Long: class.Long, MaxTokens: class.MaxTokens,
			Deadline: time.Duration(class.Deadline), NonIdempotent: class.NonIdempotent,
		}
	}
	return row, row.Validate()
}

type serviceJSON struct {
	Service core.ServiceName `json:"service"`
	Cost    core.Tokens      `json:"cost"`
	Rules   []ruleJSON       `json:"rules,omitempty"`
}

type ruleJSON struct {
	Method     string `json:"method"`
	PathPrefix string `json:"path_prefix"`
	Idempotent bool   `json:"idempotent"`
}

// EncodeService returns the value of a service's row, without its version.
func EncodeService(row *core.ServiceRow) ([]byte, error) {
	form := serviceJSON{Service: row.Service, Cost: row.Cost, Rules: make([]ruleJSON, len(row.Rules))}
	for i, rule := range row.Rules {
		form.Rules[i] = ruleJSON(rule)
	}
	return json.Marshal(form)
}

// DecodeService decodes and validates a service's row from the table. It ignores
// unknown fields.
func DecodeService(service core.ServiceName, version int64, value []byte) (*core.ServiceRow, error) {
	return decodeService(service, version, value, false)
}

// ParseService decodes and validates a service's row from an operator. It
// rejects unknown fields.
func ParseService(service core.ServiceName, value []byte) (*core.ServiceRow, error) {
	return decodeService(service, 0, value, true)
}

func decodeService(service core.ServiceName, version int64, value []byte, strict bool) (*core.ServiceRow, error) {
	var form serviceJSON
	if err := decodeObject(value, &form, strict); err != nil {
		return nil, err
	}
	if form.Service != "" && form.Service != service {
		return nil, fmt.Errorf("service: is %q in the row of %q; leave it out or make it equal", form.Service, service)
	}
	row := &core.ServiceRow{Service: service, Version: version, Cost: form.Cost}
	for _, rule := range form.Rules {
		row.Rules = append(row.Rules, core.ServiceRule(rule))
	}
	return row, row.Validate()
}

// TeamHistory is a replaced version of a team's row.
type TeamHistory struct {
	Team core.TeamName
	// Version is the replaced version. It is 0 for the creation of the row.
	Version int64
	// Row is the replaced row, nil for version 0.
	Row *core.TeamRow
	// By is the operator who replaced it, At is when.
	By string
	At time.Time
	// Deleted is true if the version was deleted and not replaced.
	Deleted bool
}

type historyJSON struct {
	Row     json.RawMessage `json:"row,omitempty"`
	By      string          `json:"by"`
	At      time.Time       `json:"at"`
	Deleted bool            `json:"deleted,omitempty"`
}

// EncodeHistory returns the value of the row of a replaced version.
func EncodeHistory(history *TeamHistory) ([]byte, error) {
	form := historyJSON{By: history.By, At: history.At, Deleted: history.Deleted}
	if history.Row != nil {
		row, err := EncodeTeam(history.Row)
		if err != nil {
			return nil, err
		}
		form.Row = row
	}
	return json.Marshal(form)
}

// DecodeHistory decodes a replaced version from its key and value.
func DecodeHistory(key string, value []byte) (*TeamHistory, error) {
	name, number, found := strings.Cut(strings.TrimPrefix(key, HistoryPrefix), "/")
	version, err := strconv.ParseInt(number, 10, 64)
	if !found || err != nil || name == "" || version < 0 {
		return nil, fmt.Errorf("key %q is not of the form history/TEAM/VERSION", key)
	}
	var form historyJSON
	if err := decodeObject(value, &form, false); err != nil {
		return nil, err
	}
	history := &TeamHistory{Team: core.TeamName(name), Version: version, By: form.By, At: form.At, Deleted: form.Deleted}
	if len(form.Row) == 0 || string(form.Row) == "null" {
		return history, nil
	}
	history.Row, err = DecodeTeam(history.Team, version, form.Row)
	return history, err
}

// decodeObject decodes exactly one JSON value. If strict is set, it rejects
// unknown fields and names the first.
func decodeObject(value []byte, form any, strict bool) error {
	decoder := json.NewDecoder(bytes.NewReader(value))
	if strict {
		decoder.DisallowUnknownFields()
	}
	if err := decoder.Decode(form); err != nil {
		return describeJSON(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("the row has text after its end; send one JSON object")
	}
	return nil
}

func describeJSON(err error) error {
	// encoding/json has no typed error for an unknown field.
	if field, found := strings.CutPrefix(err.Error(), "json: unknown field "); found {
		return fmt.Errorf("%s: is not a field of this row; remove it or correct its name", strings.Trim(field, `"`))
	}
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		return fmt.Errorf("%s: is a JSON %s; give a value of type %s", mismatch.Field, mismatch.Value, mismatch.Type)
	}
	return fmt.Errorf("the row is not valid: %w", err)
}
