// Package wire defines the JSON messages of the platform's protocol. The client
// and the stand-in share it. The protocol is described in docs/design.md,
// section 7.1.
package wire

// Paths of the protocol. The name of an object or of weights follows its prefix as
// one escaped path segment.
const (
	PathCommit        = "/v1/table/commit"
	PathGet           = "/v1/table/get"
	PathRows          = "/v1/table/rows"
	PathChanges       = "/v1/table/changes"
	PathObjectsPrefix = "/v1/objects/"
	PathMembers       = "/v1/members"
	PathWeightsPrefix = "/v1/weights/"
)

// Row is a row of the table; its value is encoded as base64.
type Row struct {
	Key      string `json:"key"`
	Version  int64  `json:"version"`
	Revision int64  `json:"revision"`
	Value    []byte `json:"value,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// Condition requires a row to have a version; 0 requires it to be absent.
type Condition struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
}

// Write replaces or deletes a row.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Commit is the body of a commit.
type Commit struct {
	Token      string      `json:"token"`
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// Committed is the answer to a commit that was applied.
type Committed struct {
	Revision int64 `json:"revision"`
}

// Keys is the body of a read of rows by key.
type Keys struct {
	Keys []string `json:"keys"`
}

// Rows is the answer to a read, and to a commit whose conditions failed.
type Rows struct {
	Rows []Row `json:"rows"`
}

// Since is the body of a request for changes.
type Since struct {
	Since    int64    `json:"since"`
	Prefixes []string `json:"prefixes"`
}

// Changes is the answer to a request for changes.
type Changes struct {
	Rows    []Row `json:"rows"`
	Through int64 `json:"through"`
}

// Member is an entry of the list of members.
type Member struct {
	Role          string   `json:"role"`
	ID            string   `json:"id"`
	Incarnation   uint64   `json:"incarnation"`
	Zone          string   `json:"zone"`
	Address       string   `json:"address"`
	Leaving       bool     `json:"leaving,omitempty"`
	Models        []string `json:"models,omitempty"`
	Service       string   `json:"service,omitempty"`
	ChecksFencing bool     `json:"checks_fencing,omitempty"`
}

// Members is the list of members.
type Members struct {
	Members []Member `json:"members"`
}
