package jkroute

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"time"

	"jasmineknot.example/core/jkmsg"
	"jasmineknot.example/core/jkplatform"
	"jasmineknot.example/core/jkproblem"
	"jasmineknot.example/core/jkprogram"
)

// claimRecord is the platform's record of a caller's Idempotency-Key.
type claimRecord struct {
	// Program holds the key's one call; its id names the home that claimed it.
	Program string `json:"program"`
	// Request is a digest of the request, so that a key used for another one
	// is recognised.
	Request string `json:"request"`
}

func claimKey(service, key string) string {
	sum := sha256.Sum256([]byte(service + "\x00" + key))
	return "claim/" + hex.EncodeToString(sum[:])
}

func requestDigest(m jkmsg.Call) string {
	h := sha256.New()
	for _, part := range []string{m.Service, m.Method, m.Path, string(m.Body)} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	return hex.EncodeToString(h.Sum(nil))
}

// claim binds a caller's key to a program of this home, or finds the one that
// it is bound to. The request id carries the key.
func (r *Router) claim(ctx context.Context, m jkmsg.Call) (string, *jkproblem.Problem) {
	if m.RequestID == "" {
		return "", jkproblem.New(jkproblem.TypeBadRequest, "a call that may not be repeated needs a program token or an Idempotency-Key").WithField("Idempotency-Key")
	}
	program := r.options.Home.Transient(jkprogram.Meta{}, "k")
	mine := claimRecord{Program: program, Request: requestDigest(m)}
	value, err := json.Marshal(mine)
	if err != nil {
		return "", jkproblem.From(err)
	}
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	held, err := r.createClaim(ctx, claimKey(m.Service, m.RequestID), value)
	if err == nil && held.Request == mine.Request && held.Program == program {
		return program, nil
	}
	r.options.Home.Program(jkmsg.Program{Action: jkmsg.ActionFinish, Program: program})
	if err != nil {
		return "", claimProblem(err)
	}
	if held.Request != mine.Request {
		return "", jkproblem.New(jkproblem.TypeBadRequest, "the key was used for another request").WithField("Idempotency-Key")
	}
	return held.Program, nil
}

// claimProblem answers a call whose key could not be claimed. An earlier try
// with the key may have run, so the outcome stays unknown.
func claimProblem(err error) *jkproblem.Problem {
	return jkproblem.Newf(jkproblem.TypeUnavailable, "the platform can't claim the key: %v", err).WithRetryAfter(time.Second)
}

// createClaim creates the record or returns the present one. A lost answer is
// settled by reading the record back.
func (r *Router) createClaim(ctx context.Context, key string, value []byte) (claimRecord, error) {
	record, err := r.options.Platform.Create(ctx, key, value)
	var exists *jkplatform.ExistsError
	var uncertain *jkplatform.UncertainError
	switch {
	case errors.As(err, &exists):
		record = exists.Present
	case errors.As(err, &uncertain):
		record, err = r.options.Platform.Get(ctx, key)
		if err != nil {
			return claimRecord{}, err
		}
	case err != nil:
		return claimRecord{}, err
	}
	var held claimRecord
	return held, json.Unmarshal(record.Value, &held)
}
