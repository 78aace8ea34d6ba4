package platform

import (
	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/platform/wire"
)

// EncodeCommit converts a commit to its JSON type.
func EncodeCommit(commit Commit) wire.Commit {
	encoded := wire.Commit{Token: commit.Token}
	for _, c := range commit.Conditions {
		encoded.Conditions = append(encoded.Conditions, wire.Condition(c))
	}
	for _, w := range commit.Writes {
		encoded.Writes = append(encoded.Writes, wire.Write(w))
	}
	return encoded
}

// DecodeCommit converts a commit from its JSON type.
func DecodeCommit(c wire.Commit) Commit {
	decoded := Commit{Token: c.Token}
	for _, condition := range c.Conditions {
		decoded.Conditions = append(decoded.Conditions, Condition(condition))
	}
	for _, write := range c.Writes {
		decoded.Writes = append(decoded.Writes, Write(write))
	}
	return decoded
}

// EncodeRows converts rows to their JSON type.
func EncodeRows(rows []Row) []wire.Row {
	encoded := make([]wire.Row, 0, len(rows))
	for _, row := range rows {
		encoded = append(encoded, wire.Row{
			Key: row.Key, Version: row.Version, Revision: int64(row.Revision),
			Value: row.Value, Deleted: row.Deleted,
		})
	}
	return encoded
}

// DecodeRows converts rows from their JSON type.
func DecodeRows(rows []wire.Row) []Row {
	decoded := make([]Row, 0, len(rows))
	for _, row := range rows {
		decoded = append(decoded, Row{
			Key: row.Key, Version: row.Version, Revision: Revision(row.Revision),
			Value: row.Value, Deleted: row.Deleted,
		})
	}
	return decoded
}

// EncodeMembers converts the list of members to its JSON type.
func EncodeMembers(members []Member) wire.Members {
	encoded := wire.Members{Members: make([]wire.Member, 0, len(members))}
	for _, m := range members {
		var models []string
		for _, model := range m.Models {
			models = append(models, string(model))
		}
		encoded.Members = append(encoded.Members, wire.Member{
			Role: string(m.Role), ID: m.ID, Incarnation: uint64(m.Incarnation),
			Zone: string(m.Zone), Address: m.Address, Leaving: m.Leaving,
			Models: models, Service: string(m.Service), ChecksFencing: m.ChecksFencing,
		})
	}
	return encoded
}

// DecodeMembers converts the list of members from its JSON type.
func DecodeMembers(m wire.Members) []Member {
	decoded := make([]Member, 0, len(m.Members))
	for _, member := range m.Members {
		var models []core.ModelName
		for _, model := range member.Models {
			models = append(models, core.ModelName(model))
		}
		decoded = append(decoded, Member{
			Role: Role(member.Role), ID: member.ID,
			Incarnation: core.Incarnation(member.Incarnation),
			Zone:        core.ZoneName(member.Zone), Address: member.Address, Leaving: member.Leaving,
			Models: models, Service: core.ServiceName(member.Service), ChecksFencing: member.ChecksFencing,
		})
	}
	return decoded
}
