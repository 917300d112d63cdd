package jkoperate

import (
	"net/http"
	"sort"
	"strings"
	"sync"

	"jasmineknot.example/core/jkdaemon"
	"jasmineknot.example/jasmineknot/jkcaller"
)

// maxParallelRequests bounds the hosts that are queried at the same time.
const maxParallelRequests = 32

// Missing is a host whose figures are missing from a result, and why.
type Missing struct {
	Host   string `json:"host"`
	Reason string `json:"reason"`
}

// hostAnswer is the decoded answer of a host, or the error of its request.
type hostAnswer struct {
	host string
	body any
	err  error
}

// fetchStatus returns the status of the first server that answers.
func (c *command) fetchStatus() (jkdaemon.Status, error) {
	var s jkdaemon.Status
	return s, c.sendToAny(jkcaller.Request{Method: http.MethodGet, Path: "/v1/status"}, &s)
}

// sendToAll sends a request to every host that a status lists. It returns the
// answers and the hosts without one, both sorted by host name. makeBody returns a
// new value to decode an answer into.
func (c *command) sendToAll(status jkdaemon.Status, r jkcaller.Request, makeBody func() any) ([]hostAnswer, []Missing) {
	answers := make([]hostAnswer, len(status.Hosts))
	slots := make(chan struct{}, maxParallelRequests)
	var wg sync.WaitGroup
	for i, h := range status.Hosts {
		answers[i] = hostAnswer{host: h.Host, body: makeBody()}
		wg.Add(1)
		go func() {
			defer wg.Done()
			slots <- struct{}{}
			defer func() { <-slots }()
			answers[i].err = c.sendToHost(h, r, answers[i].body)
		}()
	}
	wg.Wait()
	return partitionAnswers(answers)
}

func (c *command) sendToHost(h jkdaemon.HostStatus, r jkcaller.Request, into any) error {
	if h.HTTP == "" {
		return errNoAddress
	}
	ctx, cancel := c.requestContext()
	defer cancel()
	r.Server = h.HTTP
	_, err := jkcaller.SendAndDecode(ctx, r, into)
	return err
}

func partitionAnswers(answers []hostAnswer) ([]hostAnswer, []Missing) {
	var answered []hostAnswer
	missing := []Missing{}
	for _, p := range answers {
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
