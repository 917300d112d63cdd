package jkplatform

import "fmt"

// NotFoundError is returned for a key that doesn't exist.
type NotFoundError struct {
	Key string
}

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("platform: key %q does not exist", e.Key)
}

// ExistsError is returned when a key to be created exists, or a lease to be acquired is
// held.
type ExistsError struct {
	Key string
	// Present is the existing record.
	Present Record
}

func (e *ExistsError) Error() string {
	return fmt.Sprintf("platform: key %q already exists at version %d", e.Key, e.Present.Version)
}

// ConflictError is returned when a record or a lease is no longer at the
// version that the caller named.
type ConflictError struct {
	Key string
	// Version is the one the caller named.
	Version uint64
	// Present is the current record; its version is 0 if there is none.
	Present Record
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("platform: key %q is at version %d, not at %d", e.Key, e.Present.Version, e.Version)
}

// UnavailableError is returned when the platform can't be reached or refuses the request. A
// write that failed this way certainly did not take effect.
type UnavailableError struct {
	Operation string
	Cause     error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("platform: %s is unavailable: %v", e.Operation, e.Cause)
}

func (e *UnavailableError) Unwrap() error { return e.Cause }

// UncertainError is returned when the response to a write was lost: the write may have
// taken effect.
type UncertainError struct {
	Operation string
	Key       string
	Cause     error
}

func (e *UncertainError) Error() string {
	return fmt.Sprintf("platform: %s of key %q may have taken effect: %v", e.Operation, e.Key, e.Cause)
}

func (e *UncertainError) Unwrap() error { return e.Cause }

// InvalidError is returned, before anything is sent, for an argument that the
// platform can't store.
type InvalidError struct {
	Field   string
	Value   string
	Allowed string
}

func (e *InvalidError) Error() string {
	return fmt.Sprintf("platform: %s %s is invalid: want %s", e.Field, e.Value, e.Allowed)
}
