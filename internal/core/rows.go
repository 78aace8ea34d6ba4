package core

import (
	"fmt"
	"time"
)

// TeamRow is one row of the operators' table.
type TeamRow struct {
	Team TeamName
	// Version is the row's version in the platform's table; a higher one is newer.
	Version int64
	// Weight is the team's part of contended capacity relative to other teams.
	Weight int
	Budget BudgetID
	// MaxInFlight is the maximum number of the team's running requests across the fleet.
	MaxInFlight int
	// TokensPerSecond is the maximum rate of the team's admitted work across the fleet.
	TokensPerSecond Tokens
	// QueueLength is the maximum number of the team's waiting requests across the fleet.
	QueueLength int
	// Deadline is the time limit of a request whose class has no deadline of its own.
	Deadline time.Duration
	// KeyDigests are SHA-256 digests of the callers' bearer keys in hexadecimal.
	KeyDigests []string
	// Models lists the models the team may use; empty means all.
	Models []ModelName
	// Classes lists the team's classes; the first is the default.
	Classes []ClassRow
}

// ClassRow describes one class of work of a team.
type ClassRow struct {
	Name ClassName
	// Priority is passed to the engine; a higher one is served first.
	Priority int
	// Long marks work that must not occupy the slots reserved for short work.
	Long bool
	// MaxTokens is the maximum number of generated tokens if the request sets none.
	MaxTokens Tokens
	// Deadline is the time limit of the whole request; 0 means the team's.
	Deadline time.Duration
	// NonIdempotent marks completion requests that must not run twice.
	NonIdempotent bool
}

// ServiceRow describes a plain service.
type ServiceRow struct {
	Service ServiceName
	Version int64
	// Cost is the price of one call in tokens.
	Cost Tokens
	// Rules are tried in order; a call that matches none is not idempotent.
	Rules []ServiceRule
}

// ServiceRule says whether calls with a method and path prefix may be repeated.
type ServiceRule struct {
	// Method is an HTTP method, or "*" for any.
	Method     string
	PathPrefix string
	Idempotent bool
}

// Validate returns an error that names the first invalid field and how to fix it.
func (r *TeamRow) Validate() error {
	switch {
	case r.Team == "":
		return fmt.Errorf("team: must not be empty; give the team a name")
	case r.Weight <= 0:
		return fmt.Errorf("weight: is %d; set it to 1 or more", r.Weight)
	case r.Budget == "":
		return fmt.Errorf("budget: must not be empty; name the budget the team spends")
	case r.MaxInFlight <= 0:
		return fmt.Errorf("max_in_flight: is %d; set it to 1 or more", r.MaxInFlight)
	case r.TokensPerSecond <= 0:
		return fmt.Errorf("tokens_per_second: is %d; set it to 1 or more", r.TokensPerSecond)
	case r.QueueLength < 0:
		return fmt.Errorf("queue_length: is %d; set it to 0 or more", r.QueueLength)
	case r.Deadline <= 0:
		return fmt.Errorf("deadline: is %s; set it to a positive duration such as 30s", r.Deadline)
	case len(r.Classes) == 0:
		return fmt.Errorf("classes: is empty; list at least one class, the first is the default")
	}
	return r.validateClasses()
}

func (r *TeamRow) validateClasses() error {
	seen := make(map[ClassName]bool, len(r.Classes))
	for i, class := range r.Classes {
		switch {
		case class.Name == "":
			return fmt.Errorf("classes[%d].name: must not be empty; give the class a name", i)
		case seen[class.Name]:
			return fmt.Errorf("classes[%d].name: %q stands twice; remove one of them", i, class.Name)
		case class.MaxTokens <= 0:
			return fmt.Errorf("classes[%d].max_tokens: is %d; set it to 1 or more", i, class.MaxTokens)
		case class.Deadline < 0:
			return fmt.Errorf("classes[%d].deadline: is %s; set it to 0 or a positive duration", i, class.Deadline)
		}
		seen[class.Name] = true
	}
	return nil
}

// Class returns the named class; "" stands for the default class.
func (r *TeamRow) Class(name ClassName) (ClassRow, bool) {
	for i, class := range r.Classes {
		if class.Name == name || (name == "" && i == 0) {
			return class, true
		}
	}
	return ClassRow{}, false
}

// AllowsModel reports whether the team may use the model.
func (r *TeamRow) AllowsModel(model ModelName) bool {
	if len(r.Models) == 0 {
		return true
	}
	for _, allowed := range r.Models {
		if allowed == model {
			return true
		}
	}
	return false
}

// Validate returns an error that names the first invalid field and how to fix it.
func (r *ServiceRow) Validate() error {
	switch {
	case r.Service == "":
		return fmt.Errorf("service: must not be empty; give the service a name")
	case r.Cost < 0:
		return fmt.Errorf("cost: is %d; set it to 0 or more tokens", r.Cost)
	}
	return nil
}

// Idempotent reports whether a call may be repeated.
func (r *ServiceRow) Idempotent(method, path string) bool {
	for _, rule := range r.Rules {
		methodMatches := rule.Method == "*" || rule.Method == method
		if methodMatches && len(path) >= len(rule.PathPrefix) && path[:len(rule.PathPrefix)] == rule.PathPrefix {
			return rule.Idempotent
		}
	}
	return false
}
