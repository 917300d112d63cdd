package jkentry

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"jasmineknot.example/core/jkforward"
	"jasmineknot.example/core/jksched"
)

// ExplainPath is the path at the operators' address at which placements are explained.
const ExplainPath = "/v1/explain"

// Query parameters of ExplainPath. A part is given as HASH:TOKENS, the shared one first.
const (
	ParamRoute     = "route"
	ParamWorkspace = "workspace"
	ParamSession   = "session"
	ParamPart      = "part"
	ParamMaxTokens = "max_tokens"
	ParamBodyBytes = "body_bytes"
)

// PlacementExplanation is the answer of ExplainPath. Times are in milliseconds.
type PlacementExplanation struct {
	Host string `json:"host"`
	// Endpoint is empty if the request would be refused for the reason in Refusal.
	Endpoint   string               `json:"endpoint"`
	Refusal    string               `json:"refusal,omitempty"`
	Candidates []PlacementCandidate `json:"candidates"`
}

// PlacementCandidate is what is expected of the request at one endpoint.
type PlacementCandidate struct {
	Endpoint     string  `json:"endpoint"`
	Zone         string  `json:"zone"`
	WaitMS       float64 `json:"wait_ms"`
	RunMS        float64 `json:"run_ms"`
	CostMS       float64 `json:"cost_ms"`
	Calls        int     `json:"calls"`
	CachedTokens int64   `json:"cached_tokens"`
	Excluded     string  `json:"excluded,omitempty"`
}

// explain answers where a request would go now, and why.
func (e *Entry) explain(c echo.Context) error {
	rules := e.rules.Load()
	if rules == nil {
		return c.JSON(http.StatusServiceUnavailable, map[string]string{"error": "no rules yet"})
	}
	query, err := explainQuery(c.QueryParams())
	if err != nil {
		return c.JSON(http.StatusBadRequest, map[string]string{"error": err.Error()})
	}
	found, err := e.fleet.Explain(rules, query)
	if err != nil {
		return c.JSON(http.StatusNotFound, map[string]string{"error": err.Error()})
	}
	out := PlacementExplanation{Host: e.settings.Host, Endpoint: found.Endpoint, Refusal: string(found.Refusal), Candidates: []PlacementCandidate{}}
	for _, x := range found.Candidates {
		out.Candidates = append(out.Candidates, PlacementCandidate{
			Endpoint: x.Endpoint, Zone: x.Zone, WaitMS: toMillis(x.Wait), RunMS: toMillis(x.Run), CostMS: toMillis(x.Cost), Calls: x.Calls,
			CachedTokens: x.CachedTokens, Excluded: string(x.Excluded),
		})
	}
	return c.JSON(http.StatusOK, out)
}

func toMillis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// explainQuery reads the query parameters. The error is a *ParamError.
func explainQuery(values url.Values) (jkforward.ExplainQuery, error) {
	q := jkforward.ExplainQuery{Route: values.Get(ParamRoute), Workspace: values.Get(ParamWorkspace), Session: values.Get(ParamSession)}
	for name, field := range map[string]*int64{ParamMaxTokens: &q.MaxTokens, ParamBodyBytes: &q.BodyBytes} {
		if values.Get(name) == "" {
			continue
		}
		n, err := parseCount(name, values.Get(name))
		if err != nil {
			return q, err
		}
		*field = n
	}
	for _, part := range values[ParamPart] {
		i := strings.LastIndexByte(part, ':')
		if i < 0 {
			return q, &ParamError{Name: ParamPart, Value: part}
		}
		tokens, err := parseCount(ParamPart, part[i+1:])
		if err != nil {
			return q, err
		}
		q.Parts = append(q.Parts, jksched.Segment{Hash: part[:i], Tokens: tokens})
	}
	return q, nil
}

// ParamError is returned for a query parameter that can't be used.
type ParamError struct{ Name, Value string }

func (e *ParamError) Error() string {
	return "parameter " + e.Name + " is " + strconv.Quote(e.Value) + ", want a whole number, for a part HASH:TOKENS"
}

// maxExplainCount bounds the numbers in a query, so that predictions don't overflow.
const maxExplainCount = 1 << 30

func parseCount(name, value string) (int64, error) {
	n, err := strconv.ParseInt(value, 10, 64)
	if err != nil || n < 0 || n > maxExplainCount {
		return 0, &ParamError{Name: name, Value: value}
	}
	return n, nil
}
