package jkconfigadapter

import (
	"errors"
	"net/http"

	"jasmineknot.example/core/jkconfig"
	"jasmineknot.example/core/jkconfigapi"
	"jasmineknot.example/core/jkplatform"
	"jasmineknot.example/core/jkschema"
)

// retryMillisecond is what a caller is told to wait while the platform is down.
const retryMillisecond = 1000

// Problem describes an error of the configuration. It is the one place where
// the types of errors are mapped to HTTP.
func Problem(err error) *jkconfigapi.Problem {
	p := &jkconfigapi.Problem{Detail: err.Error(), Outcome: jkconfigapi.OutcomeNotRun}
	if !refusal(p, err) && !failure(p, err) {
		set(p, jkconfigapi.KindInternal, "internal error", http.StatusInternalServerError)
		p.Outcome = jkconfigapi.OutcomeFailed
	}
	return p
}

// refusal describes errors that the caller has to resolve.
func refusal(p *jkconfigapi.Problem, err error) bool {
	var report *jkschema.ReportError
	var conflict *jkconfig.ConflictError
	var owner *jkconfig.OwnerError
	var tooLarge *jkconfig.TooLargeError
	switch {
	case errors.As(err, &report):
		set(p, jkconfigapi.KindInvalid, "configuration is invalid", http.StatusUnprocessableEntity)
		for _, f := range report.Problems {
			p.Fields = append(p.Fields, jkconfigapi.Field(f))
		}
		p.Field = report.Problems[0].Field
	case errors.As(err, &conflict):
		set(p, jkconfigapi.KindConflict, "section was changed by another edit", http.StatusConflict)
		p.Field = string(conflict.Section)
		p.Conflict = &jkconfigapi.Conflict{
			Section: string(conflict.Section), BaseRevision: conflict.Base, Revision: conflict.Revision,
			Team: conflict.Team, Theirs: conflict.Theirs, Yours: conflict.Yours,
		}
	case errors.As(err, &owner):
		set(p, jkconfigapi.KindNotOwner, "section belongs to another team", http.StatusForbidden)
		p.Field = "team"
	case errors.As(err, &tooLarge):
		set(p, jkconfigapi.KindTooLarge, "edit is too large", http.StatusRequestEntityTooLarge)
		p.Field = string(tooLarge.Section)
	default:
		return false
	}
	return true
}

// failure describes errors of the platform.
func failure(p *jkconfigapi.Problem, err error) bool {
	var uncertain *jkconfig.UncertainError
	var unavailable *jkconfig.UnavailableError
	var platform *jkplatform.UnavailableError
	var notFound *jkplatform.NotFoundError
	switch {
	case errors.As(err, &uncertain):
		set(p, jkconfigapi.KindUncertain, "outcome is unknown", http.StatusGatewayTimeout)
		p.Outcome = jkconfigapi.OutcomeUnknown
		p.RetryMillisecond = retryMillisecond
	case errors.As(err, &unavailable), errors.As(err, &platform):
		set(p, jkconfigapi.KindUnavailable, "platform is unavailable", http.StatusServiceUnavailable)
		p.RetryMillisecond = retryMillisecond
	case errors.As(err, &notFound):
		set(p, jkconfigapi.KindNotFound, "revision does not exist", http.StatusNotFound)
		p.Field = "revision"
	default:
		return false
	}
	return true
}

func set(p *jkconfigapi.Problem, kind jkconfigapi.Kind, title string, status int) {
	p.Type, p.Title, p.Status = kind, title, status
}
