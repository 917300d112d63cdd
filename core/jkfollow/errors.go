package jkfollow

import "fmt"

// OlderRulesError reports a read of the store that shows older rules than those in force, or none with
// revision 0.
type OlderRulesError struct {
	Revision int64
	InForce  int64
}

func (e *OlderRulesError) Error() string {
	return fmt.Sprintf("the store shows the rules at revision %d, those in force are from revision %d", e.Revision, e.InForce)
}
