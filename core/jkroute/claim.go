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

// claimRecord is the platform's record that binds a caller's Idempotency-Key to a
// program.
type claimRecord struct {
	// Program is the program of the key's only call; its id names the home that
	// claimed the key.
	Program string `json:"program"`
	// Request is a digest of the request, to detect reuse of the key for a
	// different request.
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

// claimKeyForCall binds a caller's Idempotency-Key to a new program of this home
// and returns its id, or the id of the program that the key is bound to already.
// The request id of the call holds the key.
func (r *Router) claimKeyForCall(ctx context.Context, m jkmsg.Call) (string, *jkproblem.Problem) {
	if m.RequestID == "" {
		return "", jkproblem.New(jkproblem.TypeBadRequest, "a call that may not be repeated needs a program token or an Idempotency-Key").WithField("Idempotency-Key")
	}
	program := r.options.Home.CreateTransient(jkprogram.Meta{}, "k")
	proposed := claimRecord{Program: program, Request: requestDigest(m)}
	value, err := json.Marshal(proposed)
	if err != nil {
		return "", jkproblem.From(err)
	}
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	stored, err := r.createClaim(ctx, claimKey(m.Service, m.RequestID), value)
	if err == nil && stored.Request == proposed.Request && stored.Program == program {
		return program, nil
	}
	r.options.Home.ApplyAction(jkmsg.Program{Action: jkmsg.ActionFinish, Program: program})
	if err != nil {
		return "", claimProblem(err)
	}
	if stored.Request != proposed.Request {
		return "", jkproblem.New(jkproblem.TypeBadRequest, "the key was used for another request").WithField("Idempotency-Key")
	}
	return stored.Program, nil
}

// claimProblem returns the problem for a call whose key could not be claimed. An
// earlier attempt with the key may have run, so the outcome is unknown.
func claimProblem(err error) *jkproblem.Problem {
	return jkproblem.Newf(jkproblem.TypeUnavailable, "the platform can't claim the key: %v", err).WithRetryAfter(time.Second)
}

// createClaim creates the record or returns the existing one. If the response to
// the create request is lost, it reads the record back.
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
	var stored claimRecord
	return stored, json.Unmarshal(record.Value, &stored)
}
