package jkdaemon

import (
	"errors"
	"net/http"

	"github.com/labstack/echo/v4"

	"jasmineknot.example/core/jkconfig"
	"jasmineknot.example/core/jkcontrol"
	"jasmineknot.example/core/jkendpoint"
	"jasmineknot.example/core/jkorder"
	"jasmineknot.example/core/jkproblem"
	"jasmineknot.example/core/jkprogram"
)

// orderBody is the body of an operator's load or unload request. Exactly one of model,
// adapter and role is set; a role can't be unloaded.
type orderBody struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter"`
	Role    string `json:"role"`
	// Force allows unloading the last ready replica of a model in use.
	Force bool `json:"force"`
}

// order converts the body to an order.
func (b orderBody) order(unload bool) (jkendpoint.Order, error) {
	named := 0
	for _, s := range []string{b.Model, b.Adapter, b.Role} {
		if s != "" {
			named++
		}
	}
	o := jkendpoint.Order{Model: b.Model, Version: b.Version, Adapter: b.Adapter, Role: b.Role}
	switch {
	case named != 1 || b.Role != "" && unload:
		return o, &jkorder.RequestError{Field: "model", Value: b.Model, Allowed: "exactly one of model, adapter and, for load, role"}
	case b.Role != "":
		o.Kind = jkendpoint.OrderRole
	case b.Adapter != "":
		o.Kind, o.Remove = jkendpoint.OrderAdapter, unload
	case unload:
		o.Kind, o.Version = jkendpoint.OrderUnload, ""
	default:
		o.Kind = jkendpoint.OrderLoad
	}
	return o, nil
}

func (o *orders) register(e *echo.Echo, bound echo.MiddlewareFunc) {
	e.GET("/v1/orders", o.show)
	e.POST("/v1/orders/:model/resume", o.resume, bound)
	e.POST("/v1/endpoints/:id/load", func(c echo.Context) error { return o.request(c, false) }, bound)
	e.POST("/v1/endpoints/:id/unload", func(c echo.Context) error { return o.request(c, true) }, bound)
}

// zone returns the zone that a request names, by default this host's.
func (o *orders) zone(c echo.Context) string {
	if zone := c.QueryParam("zone"); zone != "" {
		return zone
	}
	return o.daemon.settings.Zone()
}

func (o *orders) show(c echo.Context) error {
	return o.atController(c, o.zone(c), func() error { return c.JSON(http.StatusOK, o.controller.Status()) })
}

func (o *orders) resume(c echo.Context) error {
	return o.atController(c, o.zone(c), func() error {
		if err := o.controller.Resume(c.Param("model")); err != nil {
			return orderProblem(err)
		}
		return c.JSON(http.StatusOK, o.controller.Status())
	})
}

func (o *orders) request(c echo.Context, unload bool) error {
	id := c.Param("id")
	e, ok := o.daemon.follower.Newest().Endpoint(id)
	if !ok || e.Kind() != jkconfig.KindEngine {
		return orderProblem(&jkorder.RequestError{Field: "endpoint", Value: id, Allowed: "an engine of the configuration"})
	}
	return o.atController(c, e.Zone(), func() error {
		var body orderBody
		if err := c.Bind(&body); err != nil {
			return err
		}
		order, err := body.order(unload)
		if err != nil {
			return orderProblem(err)
		}
		if err := o.controller.Request(id, order, body.Force); err != nil {
			return orderProblem(err)
		}
		return c.JSON(http.StatusAccepted, map[string]string{"endpoint": id, "kind": string(order.Kind)})
	})
}

// atController runs a request here if this host controls the zone's engines, and otherwise
// redirects the operator to the host that does.
func (o *orders) atController(c echo.Context, zone string, run func() error) error {
	canControl := o.controller != nil && zone == o.daemon.settings.Zone()
	if canControl && o.controller.Status().Controller {
		return run()
	}
	host, ok, err := o.controllerOf(c.Request().Context(), zone)
	switch {
	case err != nil:
		return orderProblem(err)
	case !ok || host.HTTP == "" || host.Incarnation == o.daemon.home.Self():
		return orderProblem(&jkcontrol.NotControllerError{})
	}
	return c.Redirect(http.StatusTemporaryRedirect, "http://"+host.HTTP+c.Request().URL.RequestURI())
}

// orderProblem maps an error of an operator's request to a problem. If there is no
// controller, the request has not run and may be retried.
func orderProblem(err error) error {
	var wrong *jkorder.RequestError
	if errors.As(err, &wrong) {
		return jkproblem.New(jkproblem.TypeBadRequest, err.Error()).WithField(wrong.Field)
	}
	return jkproblem.New(jkproblem.TypeUnavailable, err.Error()).
		WithOutcome(jkprogram.OutcomeNotRun).WithRetryAfter(jkcontrol.LeaseTTL)
}
