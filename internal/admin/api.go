package admin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/teamtable"
	"github.com/peridotreel/peridotreel/internal/operate"
	"github.com/peridotreel/peridotreel/internal/rows"
)

// maxBodyBytes limits the body of an operator's request. It has room for a row
// with some thousand keys.
const maxBodyBytes = 1 << 20

// teamAnswer is a team's row in an answer of the API.
type teamAnswer struct {
	Team     core.TeamName   `json:"team"`
	Version  int64           `json:"version"`
	Revision int64           `json:"revision,omitempty"`
	Deleted  bool            `json:"deleted,omitempty"`
	Row      json.RawMessage `json:"row,omitempty"`
	// Invalid says why this host's binary can't decode the row.
	Invalid string `json:"invalid,omitempty"`
}

func newTeamAnswer(team operate.Team) (teamAnswer, error) {
	answer := teamAnswer{Team: team.Team, Version: team.Version, Revision: team.Revision, Deleted: team.Deleted}
	if team.Invalid != nil {
		answer.Invalid = team.Invalid.Error()
	}
	if team.Row == nil {
		return answer, nil
	}
	value, err := rows.EncodeTeam(team.Row)
	answer.Row = value
	return answer, err
}

func newTeamAnswers(teams []operate.Team) ([]teamAnswer, error) {
	answers := make([]teamAnswer, len(teams))
	for i, team := range teams {
		var err error
		if answers[i], err = newTeamAnswer(team); err != nil {
			return nil, err
		}
	}
	return answers, nil
}

func teamName(r *http.Request) core.TeamName {
	return core.TeamName(mux.Vars(r)["team"])
}

func (h *handler) listTeams(r *http.Request, _ string) (any, error) {
	teams, err := h.config.Operator.Teams(r.Context())
	if err != nil {
		return nil, err
	}
	answers, err := newTeamAnswers(teams)
	return map[string][]teamAnswer{"teams": answers}, err
}

func (h *handler) listChanges(r *http.Request, _ string) (any, error) {
	since, err := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		return nil, &apiError{status: http.StatusBadRequest, Code: "invalid_request",
			Message: "since: is not a revision; give the revision of the last answer"}
	}
	teams, through, err := h.config.Operator.Changes(r.Context(), since)
	if err != nil {
		return nil, err
	}
	answers, err := newTeamAnswers(teams)
	return struct {
		Teams   []teamAnswer `json:"teams"`
		Through int64        `json:"through"`
	}{answers, through}, err
}

func (h *handler) getTeam(r *http.Request, _ string) (any, error) {
	team, err := h.config.Operator.Team(r.Context(), teamName(r))
	if err != nil {
		return nil, err
	}
	return newTeamAnswer(team)
}

// savedAnswer is the answer to a save: the version of the row and the revision
// of the table.
type savedAnswer struct {
	Version  int64 `json:"version"`
	Revision int64 `json:"revision"`
}

func (h *handler) putTeam(r *http.Request, operator string) (any, error) {
	var body struct {
		Expected int64           `json:"expected"`
		Row      json.RawMessage `json:"row"`
	}
	if err := decodeBody(r, &body); err != nil {
		return nil, err
	}
	row, err := rows.ParseTeam(teamName(r), body.Row)
	if err != nil {
		return nil, invalidRow(err)
	}
	saved, err := h.config.Operator.Save(r.Context(),
		teamtable.Edit{Team: teamName(r), Expected: body.Expected, Row: row, By: operator})
	return savedAnswer(saved), err
}

// expectedVersion returns the version that the row must still have, from a
// request's body.
func expectedVersion(r *http.Request) (int64, error) {
	var body struct {
		Expected int64 `json:"expected"`
	}
	err := decodeBody(r, &body)
	return body.Expected, err
}

func (h *handler) deleteTeam(r *http.Request, operator string) (any, error) {
	expected, err := expectedVersion(r)
	if err != nil {
		return nil, err
	}
	saved, err := h.config.Operator.Save(r.Context(), teamtable.Edit{Team: teamName(r), Expected: expected, By: operator})
	return savedAnswer(saved), err
}

func (h *handler) undoTeam(r *http.Request, operator string) (any, error) {
	expected, err := expectedVersion(r)
	if err != nil {
		return nil, err
	}
	saved, err := h.config.Operator.Undo(r.Context(), teamtable.Edit{Team: teamName(r), Expected: expected, By: operator})
	return savedAnswer(saved), err
}

func (h *handler) getHistory(r *http.Request, _ string) (any, error) {
	history, err := h.config.Operator.History(r.Context(), teamName(r))
	if err != nil {
		return nil, err
	}
	type entry struct {
		Version int64           `json:"version"`
		By      string          `json:"by"`
		At      time.Time       `json:"at"`
		Deleted bool            `json:"deleted,omitempty"`
		Row     json.RawMessage `json:"row,omitempty"`
	}
	entries := make([]entry, len(history))
	for i, replaced := range history {
		entries[i] = entry{Version: replaced.Version, By: replaced.By, At: replaced.At, Deleted: replaced.Deleted}
		if replaced.Row != nil {
			if entries[i].Row, err = rows.EncodeTeam(replaced.Row); err != nil {
				return nil, err
			}
		}
	}
	return map[string][]entry{"history": entries}, nil
}

func (h *handler) listServices(r *http.Request, _ string) (any, error) {
	services, unreadable, err := h.config.Operator.Services(r.Context())
	if err != nil {
		return nil, err
	}
	type entry struct {
		Version int64           `json:"version"`
		Row     json.RawMessage `json:"row"`
	}
	entries := make([]entry, len(services))
	for i := range services {
		entries[i].Version = services[i].Version
		if entries[i].Row, err = rows.EncodeService(&services[i]); err != nil {
			return nil, err
		}
	}
	return struct {
		Services   []entry `json:"services"`
		Unreadable int     `json:"unreadable"`
	}{entries, unreadable}, nil
}

func (h *handler) putService(r *http.Request, _ string) (any, error) {
	var body struct {
		Expected int64           `json:"expected"`
		Row      json.RawMessage `json:"row"`
	}
	if err := decodeBody(r, &body); err != nil {
		return nil, err
	}
	service := core.ServiceName(mux.Vars(r)["service"])
	row, err := rows.ParseService(service, body.Row)
	if err != nil {
		return nil, invalidRow(err)
	}
	saved, err := h.config.Operator.SaveService(r.Context(), service, body.Expected, row)
	return savedAnswer(saved), err
}

func (h *handler) listHosts(*http.Request, string) (any, error) {
	type entry struct {
		Host        core.HostID      `json:"host"`
		Incarnation core.Incarnation `json:"incarnation"`
		Zone        core.ZoneName    `json:"zone"`
		State       string           `json:"state"`
		Wire        int              `json:"wire"`
		Revision    int64            `json:"revision"`
	}
	entries := []entry{}
	for _, peer := range h.config.Operator.Hosts() {
		entries = append(entries, entry{peer.Ref.Host, peer.Ref.Incarnation, peer.Zone, peer.State.String(), peer.Wire, peer.Revision})
	}
	return map[string][]entry{"hosts": entries}, nil
}

func (h *handler) listBudgets(r *http.Request, _ string) (any, error) {
	budgets, err := h.config.Operator.Budgets(r.Context())
	if err != nil {
		return nil, err
	}
	type entry struct {
		Budget   core.BudgetID `json:"budget"`
		Prepaid  core.Tokens   `json:"prepaid"`
		Left     core.Tokens   `json:"left"`
		Spent    core.Tokens   `json:"spent"`
		Held     core.Tokens   `json:"held"`
		Stranded core.Tokens   `json:"stranded"`
	}
	entries := make([]entry, len(budgets))
	for i, budget := range budgets {
		entries[i] = entry(budget)
	}
	return map[string][]entry{"budgets": entries}, nil
}

func (h *handler) topUp(r *http.Request, operator string) (any, error) {
	var body struct {
		Amount core.Tokens `json:"amount"`
		Token  string      `json:"token"`
	}
	if err := decodeBody(r, &body); err != nil {
		return nil, err
	}
	err := h.config.Operator.TopUp(r.Context(), core.BudgetID(mux.Vars(r)["budget"]), body.Amount, body.Token, operator)
	return struct{}{}, err
}

func (h *handler) release(r *http.Request, operator string) (any, error) {
	var body struct {
		Host        core.HostID      `json:"host"`
		Incarnation core.Incarnation `json:"incarnation"`
	}
	if err := decodeBody(r, &body); err != nil {
		return nil, err
	}
	returned, err := h.config.Operator.Release(r.Context(), core.HostRef{Host: body.Host, Incarnation: body.Incarnation}, operator)
	return map[string]core.Tokens{"returned": returned}, err
}
