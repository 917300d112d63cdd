package jkoperate

import (
	"net/http"
	"sort"
	"strings"
	"sync"

	"jasmineknot.example/core/jkdaemon"
	"jasmineknot.example/jasmineknot/jkcaller"
)

// maxAsked bounds the hosts that are asked at the same time.
const maxAsked = 32

// Missing is a host that gave no answer.
type Missing struct {
	Host   string `json:"host"`
	Reason string `json:"reason"`
}

// part is one host's answer.
type part struct {
	host string
	body any
	err  error
}

// first returns the status of the first server that answers.
func (c *command) first() (jkdaemon.Status, error) {
	var s jkdaemon.Status
	return s, c.read(jkcaller.Request{Method: http.MethodGet, Path: "/v1/status"}, &s)
}

// askAll sends a request to every host that a status lists. The answers and the
// hosts without one come in order of the hosts' names. make returns a value to
// decode an answer into.
func (c *command) askAll(known jkdaemon.Status, r jkcaller.Request, makeBody func() any) ([]part, []Missing) {
	parts := make([]part, len(known.Hosts))
	slots := make(chan struct{}, maxAsked)
	var wg sync.WaitGroup
	for i, h := range known.Hosts {
		parts[i] = part{host: h.Host, body: makeBody()}
		wg.Add(1)
		go func() {
			defer wg.Done()
			slots <- struct{}{}
			defer func() { <-slots }()
			parts[i].err = c.askOne(h, r, parts[i].body)
		}()
	}
	wg.Wait()
	return split(parts)
}

func (c *command) askOne(h jkdaemon.HostStatus, r jkcaller.Request, into any) error {
	if h.HTTP == "" {
		return errNoAddress
	}
	ctx, cancel := c.context()
	defer cancel()
	r.Server = h.HTTP
	_, err := jkcaller.Read(ctx, r, into)
	return err
}

func split(parts []part) ([]part, []Missing) {
	var answered []part
	missing := []Missing{}
	for _, p := range parts {
		if p.err != nil {
			missing = append(missing, Missing{Host: p.host, Reason: strings.TrimSpace(p.err.Error())})
			continue
		}
		answered = append(answered, p)
	}
	sort.Slice(answered, func(i, j int) bool { return answered[i].host < answered[j].host })
	sort.Slice(missing, func(i, j int) bool { return missing[i].Host < missing[j].Host })
	return answered, missing
}
