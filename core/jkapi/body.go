package jkapi

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"jasmineknot.example/core/jkintake"
	"jasmineknot.example/core/jkproblem"
	"jasmineknot.example/core/jktimer"
)

const (
	// maxBodyTime bounds the time until a body is complete where its request sets no deadline.
	maxBodyTime = 5 * time.Minute
	// refusedBodyTime is how long the rest of a refused request's body is awaited.
	refusedBodyTime = time.Second
	// bodiesFullRetryAfter is the time after which a caller should send a body again that had no room.
	bodiesFullRetryAfter = time.Second
	// answerPartBytes is the size of the parts in which an answer is written.
	answerPartBytes = 64 << 10
)

// heldKey is the key of an echo context for what is held of its request.
const heldKey = "held"

// held returns what is held of a request; nil before its body was read.
func held(c echo.Context) *jkintake.Body {
	one, _ := c.Get(heldKey).(*jkintake.Body)
	return one
}

// countBody ends the count of what is held of a request once its handler has ended.
func countBody(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		defer func() {
			if one := held(c); one != nil {
				_ = one.End()
			}
		}()
		return next(c)
	}
}

// BoundBodies reads the bodies of requests before their handlers, as far as there is room. The bodies count
// until the requests end.
func BoundBodies(bodies *jkintake.Bodies, timer *jktimer.Service, limit int64) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return countBody(func(c echo.Context) error {
			body, problem := readBody(c, bodies, timer.Now().Add(maxBodyTime), limit)
			if problem != nil {
				return sendProblem(c, problem)
			}
			c.Request().Body = io.NopCloser(bytes.NewReader(body))
			return next(c)
		})
	}
}

// readBody reads a request body up to the limit of calls.
func (a *api) readBody(c echo.Context, deadline time.Time) ([]byte, *jkproblem.Problem) {
	if deadline.IsZero() {
		deadline = a.Timer.Now().Add(maxBodyTime)
	}
	return readBody(c, a.Bodies, deadline, a.BodyLimit)
}

// readBody reads a request body up to a limit. It counts until the request ends.
func readBody(c echo.Context, bodies *jkintake.Bodies, deadline time.Time, limit int64) ([]byte, *jkproblem.Problem) {
	r := c.Request()
	if r.ContentLength > limit {
		return nil, largeBodyProblem(limit)
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	one := bodies.Begin(deadline, func() { _ = http.NewResponseController(c.Response()).SetReadDeadline(time.Unix(1, 0)) })
	c.Set(heldKey, one)
	body, err := one.ReadAll(http.MaxBytesReader(c.Response(), r.Body, limit), r.ContentLength, limit)
	if err == nil {
		err = one.Send()
	}
	var large *http.MaxBytesError
	var ended *jkintake.BodyEndedError
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &large):
		return nil, largeBodyProblem(limit)
	case errors.As(err, &ended) && ended.Reason == jkintake.BodyOverShare:
		return nil, jkproblem.New(jkproblem.TypeUnavailable, "this host has no room for the body now").WithRetryAfter(bodiesFullRetryAfter)
	case errors.As(err, &ended):
		p := jkproblem.New(jkproblem.TypeUnavailable, "the body didn't arrive in time")
		p.Status = http.StatusRequestTimeout
		return nil, p
	}
	return nil, jkproblem.Newf(jkproblem.TypeBadRequest, "the body can't be read: %v", err).WithField("body")
}

func largeBodyProblem(limit int64) *jkproblem.Problem {
	p := jkproblem.Newf(jkproblem.TypeBadRequest, "the body has more than %d bytes", limit).WithField("body")
	p.Status = http.StatusRequestEntityTooLarge
	return p
}

// boundRest bounds how long net/http awaits the rest of the body of a request that is refused before its body
// is read. Deadlines of connections are times of the machine's clock.
func boundRest(c echo.Context) {
	if held(c) == nil && c.Request().ContentLength != 0 {
		_ = http.NewResponseController(c.Response()).SetReadDeadline(time.Now().Add(refusedBodyTime))
	}
}

// writeAnswer writes a whole answer, which counts in place of the request's body.
func (a *api) writeAnswer(c echo.Context, status int, contentType string, body []byte) error {
	one := held(c)
	if one == nil {
		one = a.Bodies.Begin(a.Timer.Now(), nil)
		c.Set(heldKey, one)
	}
	err := one.Answer(int64(cap(body)), func() { _ = http.NewResponseController(c.Response()).SetWriteDeadline(time.Unix(1, 0)) })
	if err == nil {
		c.Response().Header().Set(echo.HeaderContentType, contentType)
		c.Response().Header().Set(echo.HeaderContentLength, strconv.Itoa(len(body)))
		c.Response().WriteHeader(status)
		for len(body) > 0 && err == nil {
			part := body[:min(len(body), answerPartBytes)]
			_, err = c.Response().Write(part)
			body = body[len(part):]
			one.Progress()
		}
		err = errors.Join(err, one.End())
	}
	var ended *jkintake.BodyEndedError
	if errors.As(err, &ended) {
		// Only an aborted connection tells the caller that the answer is incomplete.
		panic(http.ErrAbortHandler)
	}
	// Another error means that the caller has disconnected.
	return nil
}
