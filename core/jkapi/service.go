package jkapi

import (
	"github.com/labstack/echo/v4"

	"jasmineknot.example/core/jkmsg"
	"jasmineknot.example/core/jkproblem"
	"jasmineknot.example/core/jkprogram"
)

// forwardedHeaders are the request headers that are forwarded to a service.
var forwardedHeaders = []string{"Content-Type", "Accept", "Accept-Language", "Authorization", HeaderIdempotency}

// service serves a service call, which may belong to a program.
func (a *api) service(c echo.Context) error {
	start := a.Timer.Now()
	m, problem := a.readHeaders(c)
	if problem == nil {
		problem = a.readService(c, &m)
	}
	if problem != nil {
		return sendProblem(c, problem)
	}
	ctx, cancel := a.requestContext(c, m)
	defer cancel()
	repeatable := a.Repeatable(m.Service, m.Method, m.Path)
	var result jkmsg.CallResult
	switch {
	case m.Token != "":
		if m.RequestID == "" {
			return sendProblem(c, jkproblem.Newf(jkproblem.TypeBadRequest, "%s is missing; a retry sends the same value", HeaderRequest).WithField(HeaderRequest))
		}
		result = a.Call(ctx, m, func(string) error { return nil })
	case m.Program != "" && !repeatable:
		return sendProblem(c, jkproblem.Newf(jkproblem.TypeBadRequest, "%s is missing; a call that may not be repeated needs the program's token", HeaderToken).WithField(HeaderToken))
	default:
		m.RequestID = c.Request().Header.Get(HeaderIdempotency)
		m.Program = ""
		result = a.Service(ctx, m, repeatable)
	}
	a.observe(c, m, kindService, start, a.Timer.Now(), result)
	setResultHeaders(c, result)
	if result.Problem != nil {
		return sendProblem(c, result.Problem)
	}
	for k, v := range result.Header {
		c.Response().Header().Set(k, v)
	}
	c.Response().Header().Set(HeaderDigest, digest(result.Body))
	return a.writeAnswer(c, result.Status, result.Header["Content-Type"], result.Body)
}

func (a *api) readService(c echo.Context, m *jkmsg.Call) *jkproblem.Problem {
	body, problem := a.readBody(c, m.Deadline)
	if problem != nil {
		return problem
	}
	m.Kind = jkprogram.KindService
	m.Service = c.Param("service")
	m.Method = c.Request().Method
	m.Path = "/" + c.Param("*")
	if q := c.QueryString(); q != "" {
		m.Path += "?" + q
	}
	m.Body = body
	m.Header = map[string]string{}
	for _, name := range forwardedHeaders {
		if v := c.Request().Header.Get(name); v != "" {
			m.Header[name] = v
		}
	}
	return nil
}
