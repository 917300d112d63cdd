package jkapi

import (
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"jasmineknot.example/core/jkchat"
	"jasmineknot.example/core/jkmsg"
	"jasmineknot.example/core/jkproblem"
	"jasmineknot.example/core/jkprogram"
)

// createRequest is the body of POST /v1/programs.
type createRequest struct {
	Workspace   string `json:"workspace"`
	Template    string `json:"template"`
	ParentToken string `json:"parent_token"`
	// BudgetTokens replaces the template's budget by a lower one; zero keeps it.
	BudgetTokens int64 `json:"budget_tokens"`
}

// Program describes a program in responses. Amounts are in tokens.
type Program struct {
	ID        string   `json:"id"`
	Workspace string   `json:"workspace"`
	Template  string   `json:"template"`
	Parent    string   `json:"parent,omitempty"`
	Home      string   `json:"home"`
	Epoch     uint64   `json:"epoch"`
	Turn      uint64   `json:"turn"`
	Budget    int64    `json:"budget_tokens"`
	Granted   int64    `json:"granted_tokens"`
	Spent     int64    `json:"spent_tokens"`
	Running   string   `json:"running_request,omitempty"`
	End       string   `json:"end,omitempty"`
	Copies    []string `json:"copies"`
	Token     string   `json:"token,omitempty"`
	Turns     []Turn   `json:"turns,omitempty"`
}

// Turn describes one finished call of a program in responses.
type Turn struct {
	Number    uint64            `json:"number"`
	RequestID string            `json:"request_id"`
	Kind      jkprogram.Kind    `json:"kind"`
	Outcome   jkprogram.Outcome `json:"outcome"`
	Cost      int64             `json:"cost_tokens"`
	// Endpoint ran the call.
	Endpoint string `json:"endpoint,omitempty"`
}

func programFromInfo(i jkprogram.Info) Program {
	return Program{
		ID: i.Program, Workspace: i.Workspace, Template: i.Template, Parent: i.Parent,
		Home: i.Home.String(), Epoch: i.Epoch, Turn: i.Turn, Budget: i.Budget,
		Granted: i.Granted, Spent: i.Spent, Running: i.Running, End: string(i.End), Copies: i.Copies,
	}
}

func (a *api) create(c echo.Context) error {
	body, problem := a.readBody(c, time.Time{})
	if problem != nil {
		return sendProblem(c, problem)
	}
	var r createRequest
	decoder := json.NewDecoder(strings.NewReader(string(body)))
	decoder.DisallowUnknownFields()
	var typed *json.UnmarshalTypeError
	if err := decoder.Decode(&r); errors.As(err, &typed) {
		return sendProblem(c, jkproblem.Newf(jkproblem.TypeBadRequest, "%s is a %s, allowed: %s", typed.Field, typed.Value, jkchat.AllowedType(typed)).WithField(typed.Field))
	} else if err != nil {
		return sendProblem(c, jkproblem.Newf(jkproblem.TypeBadRequest, "%v; allowed: workspace, template, parent_token, budget_tokens", err).WithField("body"))
	}
	if r.Template == "" {
		r.Template = defaultTemplate
	}
	if r.BudgetTokens < 0 {
		return sendProblem(c, jkproblem.Newf(jkproblem.TypeBadRequest, "budget_tokens is %d, allowed: 1 or more", r.BudgetTokens).WithField("budget_tokens"))
	}
	result := a.Create(c.Request().Context(), jkmsg.Create{
		Workspace: r.Workspace, Template: r.Template, ParentToken: r.ParentToken,
		Budget: r.BudgetTokens, RequestID: c.Request().Header.Get(HeaderRequest),
	})
	return a.sendProgram(c, http.StatusCreated, result)
}

// action returns a handler for an action on one program.
func (a *api) action(action jkmsg.ProgramAction) echo.HandlerFunc {
	return func(c echo.Context) error {
		result := a.Program(c.Request().Context(), jkmsg.Program{
			Action: action, Program: c.Param("id"), Token: c.Request().Header.Get(HeaderToken),
		})
		return a.sendProgram(c, http.StatusOK, result)
	}
}

func (a *api) sendProgram(c echo.Context, status int, r jkmsg.ProgramResult) error {
	if r.Problem != nil {
		return sendProblem(c, r.Problem)
	}
	p := programFromInfo(r.Programs[0])
	p.Token = r.Token
	for _, t := range r.Turns {
		p.Turns = append(p.Turns, Turn{Number: t.Number, RequestID: t.RequestID, Kind: t.Kind, Outcome: t.Outcome, Cost: t.Cost, Endpoint: t.Endpoint})
	}
	h := c.Response().Header()
	h.Set(HeaderProgram, p.ID)
	if r.Token != "" {
		h.Set(HeaderToken, r.Token)
	}
	return c.JSON(status, p)
}

func (a *api) list(c echo.Context) error {
	r := a.Program(c.Request().Context(), jkmsg.Program{Action: jkmsg.ActionList, Workspace: c.QueryParam("workspace")})
	if r.Problem != nil {
		return sendProblem(c, r.Problem)
	}
	programs := make([]Program, 0, len(r.Programs))
	for _, i := range r.Programs {
		programs = append(programs, programFromInfo(i))
	}
	return c.JSON(http.StatusOK, map[string]any{"programs": programs})
}
