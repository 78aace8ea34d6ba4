// Package wire is the JSON form of the platform's protocol, shared by the
// client and the stand-in. docs/design.md, section 7.1, describes it.
package wire

// Paths of the protocol. Names of objects and weights follow the prefix,
// escaped as one path segment.
const (
	PathCommit        = "/v1/table/commit"
	PathGet           = "/v1/table/get"
	PathRows          = "/v1/table/rows"
	PathChanges       = "/v1/table/changes"
	PathObjectsPrefix = "/v1/objects/"
	PathMembers       = "/v1/members"
	PathWeightsPrefix = "/v1/weights/"
)

// Row is a row of the table; its value is base64 in JSON.
type Row struct {
	Key      string `json:"key"`
	Version  int64  `json:"version"`
	Revision int64  `json:"revision"`
	Value    []byte `json:"value,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// Condition requires a row to have a version; 0 means absent.
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

// Committed is the answer to a commit that took effect.
type Committed struct {
	Revision int64 `json:"revision"`
}

// Keys is the body of a read by keys.
type Keys struct {
	Keys []string `json:"keys"`
}

// Rows is the answer to reads, and to a commit whose conditions failed.
type Rows struct {
	Rows []Row `json:"rows"`
}

// Since is the body of a read of changes.
type Since struct {
	Since    int64    `json:"since"`
	Prefixes []string `json:"prefixes"`
}

// Changes is the answer to a read of changes.
type Changes struct {
	Rows    []Row `json:"rows"`
	Through int64 `json:"through"`
}

// Member is an entry of the list of machines.
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

// Members is the list of machines.
type Members struct {
	Members []Member `json:"members"`
}
