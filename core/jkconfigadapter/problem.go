package jkconfigadapter

import (
	"errors"
	"net/http"

	"jasmineknot.example/core/jkconfig"
	"jasmineknot.example/core/jkconfigapi"
	"jasmineknot.example/core/jkplatform"
	"jasmineknot.example/core/jkschema"
)

// retryAfterMillis is the wait before a retry that a caller is told if the platform is
// unavailable or an outcome is unknown.
const retryAfterMillis = 1000

// Problem describes an error of the configuration. It is the only place that maps types
// of errors to HTTP statuses.
func Problem(err error) *jkconfigapi.Problem {
	p := &jkconfigapi.Problem{Detail: err.Error(), Outcome: jkconfigapi.OutcomeNotRun}
	if !describeRefusal(p, err) && !describePlatformFailure(p, err) {
		setKind(p, jkconfigapi.KindInternal, "internal error", http.StatusInternalServerError)
		p.Outcome = jkconfigapi.OutcomeFailed
	}
	return p
}

// describeRefusal fills in p for an error that the caller has to resolve, and reports
// whether err is one.
func describeRefusal(p *jkconfigapi.Problem, err error) bool {
	var report *jkschema.ReportError
	var conflict *jkconfig.ConflictError
	var owner *jkconfig.OwnerError
	var tooLarge *jkconfig.TooLargeError
	switch {
	case errors.As(err, &report):
		setKind(p, jkconfigapi.KindInvalid, "configuration is invalid", http.StatusUnprocessableEntity)
		for _, f := range report.Problems {
			p.Fields = append(p.Fields, jkconfigapi.Field(f))
		}
		p.Field = report.Problems[0].Field
	case errors.As(err, &conflict):
		setKind(p, jkconfigapi.KindConflict, "section was changed by another edit", http.StatusConflict)
		p.Field = string(conflict.Section)
		p.Conflict = &jkconfigapi.Conflict{
			Section: string(conflict.Section), BaseRevision: conflict.Base, Revision: conflict.Revision,
			Team: conflict.Team, Theirs: conflict.Theirs, Yours: conflict.Yours,
		}
	case errors.As(err, &owner):
		setKind(p, jkconfigapi.KindNotOwner, "section belongs to another team", http.StatusForbidden)
		p.Field = "team"
	case errors.As(err, &tooLarge):
		setKind(p, jkconfigapi.KindTooLarge, "edit is too large", http.StatusRequestEntityTooLarge)
		p.Field = string(tooLarge.Section)
	default:
		return false
	}
	return true
}

// describePlatformFailure fills in p for an error of the platform, and reports whether
// err is one.
func describePlatformFailure(p *jkconfigapi.Problem, err error) bool {
	var uncertain *jkconfig.UncertainError
	var unavailable *jkconfig.UnavailableError
	var platform *jkplatform.UnavailableError
	var notFound *jkplatform.NotFoundError
	switch {
	case errors.As(err, &uncertain):
		setKind(p, jkconfigapi.KindUncertain, "outcome is unknown", http.StatusGatewayTimeout)
		p.Outcome = jkconfigapi.OutcomeUnknown
		p.RetryAfterMillis = retryAfterMillis
	case errors.As(err, &unavailable), errors.As(err, &platform):
		setKind(p, jkconfigapi.KindUnavailable, "platform is unavailable", http.StatusServiceUnavailable)
		p.RetryAfterMillis = retryAfterMillis
	case errors.As(err, &notFound):
		setKind(p, jkconfigapi.KindNotFound, "revision does not exist", http.StatusNotFound)
		p.Field = "revision"
	default:
		return false
	}
	return true
}

func setKind(p *jkconfigapi.Problem, kind jkconfigapi.Kind, title string, status int) {
	p.Type, p.Title, p.Status = kind, title, status
}
