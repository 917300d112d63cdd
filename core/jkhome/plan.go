package jkhome

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"jasmineknot.example/core/jkchat"
	"jasmineknot.example/core/jkmsg"
	"jasmineknot.example/core/jkproblem"
	"jasmineknot.example/core/jkprogram"
	"jasmineknot.example/core/jksched"
	"jasmineknot.example/core/jktoken"
)

const (
	// defaultOutput is the output limit in tokens of a call that names none.
	defaultOutput = 4096
	// messageOverhead bounds the tokens that an engine adds for each message's
	// role and separators.
	messageOverhead = 16
	// defaultCallTimeout and defaultToolTimeout hold where the configuration
	// names none.
	defaultCallTimeout = 2 * time.Minute
	defaultToolTimeout = 30 * time.Second
)

// plan is a call with everything that is derived from its request.
type plan struct {
	message    jkmsg.Call
	request    jkchat.Request
	submission jkprogram.Submission
	// fingerprint identifies the content for crash detection.
	fingerprint string
	repeatable  bool
	timeout     time.Duration
}

// newPlan reads a request. The error is a problem for the caller.
func (h *Home) newPlan(m jkmsg.Call, claims *jktoken.Claims) (*plan, error) {
	p := &plan{message: m, submission: jkprogram.Submission{
		Program: m.Program, Token: claims, RequestID: m.RequestID, Kind: m.Kind, Claimed: m.Claimed,
	}}
	if m.Kind == jkprogram.KindService {
		h.planService(p)
		return p, nil
	}
	request, err := jkchat.ParseRequest(m.Chat, jkchat.DefaultLimits())
	if err != nil {
		return nil, err
	}
	if m.Append {
		history, err := h.history(m.Program)
		if err != nil {
			return nil, err
		}
		request.Messages = append(history, request.Messages...)
	}
	p.request = request
	h.planChat(p)
	return p, nil
}

// history returns the chat messages of a program's finished turns.
func (h *Home) history(program string) ([]jkchat.Message, error) {
	h.mu.Lock()
	state, ok := h.core.State(program)
	h.mu.Unlock()
	if !ok {
		return nil, &jkprogram.UnknownProgramError{Program: program}
	}
	var messages []jkchat.Message
	for _, t := range state.Turns {
		if t.Kind != jkprogram.KindModel || t.Outcome != jkprogram.OutcomeCompleted {
			continue
		}
		var input []jkchat.Message
		var answer jkchat.Completion
		if err := json.Unmarshal(t.Input, &input); err != nil {
			return nil, eris.Wrapf(err, "history of program %s, turn %d", program, t.Number)
		}
		if err := json.Unmarshal(t.Answer, &answer); err != nil {
			return nil, eris.Wrapf(err, "history of program %s, turn %d", program, t.Number)
		}
		messages = append(messages, input...)
		messages = append(messages, answer.Choices[0].Message)
	}
	return messages, nil
}

func (h *Home) planService(p *plan) {
	m := p.message
	rule := h.options.Rules.Service(m.Service, m.Method, m.Path)
	p.repeatable = rule.Repeatable
	p.timeout = rule.Timeout
	if p.timeout == 0 {
		p.timeout = defaultToolTimeout
	}
	p.fingerprint = fingerprint(m.Service, m.Method, m.Path, string(m.Body))
	p.submission.Repeatable = p.repeatable
}

func (h *Home) planChat(p *plan) {
	p.repeatable = true
	p.timeout = defaultCallTimeout
	p.submission.Repeatable = true
	content := []string{p.request.Model}
	for _, m := range p.request.Messages {
		d := messageDigest(m)
		p.submission.Messages = append(p.submission.Messages, d)
		content = append(content, d)
	}
	p.fingerprint = fingerprint(content...)
}

// reserve sets the call's output limit and the bound of its cost. The prompt is
// bounded by the known length of the history plus one token for each byte that
// is new, because no token is shorter than a byte. The caller holds the lock.
func (h *Home) reserve(p *plan) {
	if p.message.Kind != jkprogram.KindModel {
		return
	}
	prompt := int64(0)
	known := 0
	if e := h.extras[p.message.Program]; e != nil && e.historyMessages <= len(p.request.Messages) {
		prompt = e.historyTokens
		known = e.historyMessages
	}
	for _, m := range p.request.Messages[known:] {
		prompt += messageOverhead + messageBytes(m)
	}
	output := int64(p.request.OutputLimit())
	if output == 0 {
		output = h.defaultOutput(p.message.Program, prompt)
		p.request.MaxTokens = int(output)
	}
	p.submission.MaxCost = prompt + output
}

// defaultOutput is what remains of the budget beyond the prompt, up to the
// default limit.
func (h *Home) defaultOutput(program string, prompt int64) int64 {
	info, ok := h.core.Info(program)
	if !ok {
		return defaultOutput
	}
	return max(1, min(defaultOutput, info.Budget-info.Spent-prompt))
}

func messageBytes(m jkchat.Message) int64 {
	n := len(m.Role) + len(m.Content) + len(m.Name) + len(m.ToolCallID)
	for _, t := range m.ToolCalls {
		n += len(t.ID) + len(t.Type) + len(t.Function.Name) + len(t.Function.Arguments)
	}
	for k, v := range m.Extra {
		n += len(k) + len(v)
	}
	return int64(n)
}

// messageDigest identifies a message by what an engine reads of it. Client
// libraries resend messages with other fields dropped or reordered.
func messageDigest(m jkchat.Message) string {
	parts := []string{string(m.Role), m.Content.String(), m.Name, m.ToolCallID}
	for _, t := range m.ToolCalls {
		parts = append(parts, t.ID, t.Function.Name, t.Function.Arguments)
	}
	return fingerprint(parts...)
}

// fingerprint returns a digest over length-prefixed parts.
func fingerprint(parts ...string) string {
	var d xxhash.Digest
	d.Reset()
	for _, p := range parts {
		_, _ = d.WriteString(strconv.Itoa(len(p)) + ":" + p)
	}
	return strconv.FormatUint(d.Sum64(), 36)
}

// check applies the configuration to a call that is about to start.
func (h *Home) check(p *plan, template string) error {
	if h.options.IsRefused(p.fingerprint, h.Self()) {
		return jkproblem.New(jkproblem.TypeQuarantined, "the request's content has crashed endpoints; an operator can lift the quarantine of "+p.fingerprint)
	}
	if p.message.Kind == jkprogram.KindService {
		if !h.options.Rules.Service(p.message.Service, p.message.Method, p.message.Path).Known {
			return jkproblem.Newf(jkproblem.TypeUnknownService, "service %q has no endpoint in the configuration", p.message.Service).WithField("service")
		}
		return nil
	}
	if !h.options.Rules.Model(p.request.Model) {
		return jkproblem.Newf(jkproblem.TypeUnknownModel, "model %q is not in the configuration", p.request.Model).WithField("model")
	}
	t, ok := h.options.Rules.Template(template)
	if !ok {
		return nil
	}
	if t.CallTimeout > 0 {
		p.timeout = t.CallTimeout
	}
	if len(t.Models) == 0 {
		return nil
	}
	for _, m := range t.Models {
		if m == p.request.Model {
			return nil
		}
	}
	return jkproblem.Newf(jkproblem.TypeNotAllowed, "model %q is not allowed for programs of %q; allowed: %s", p.request.Model, template, strings.Join(t.Models, ", ")).WithField("model")
}

// dispatch builds the message to the dispatcher. The caller holds the lock.
func (h *Home) dispatch(p *plan, info jkprogram.Info, deadline time.Time) (jkmsg.Dispatch, error) {
	m := p.message
	call := jksched.Call{
		ID:            m.Program + "/" + strconv.FormatUint(info.Turn+1, 10) + "/" + m.RequestID,
		Program:       m.Program,
		Workspace:     info.Workspace,
		Zone:          h.options.Zone,
		Priority:      p.priority(info.Priority),
		Deadline:      deadline,
		Repeatable:    p.repeatable,
		Attained:      info.Spent,
		Turn:          info.Turn + 1,
		ParentWaiting: info.Parent != "",
		Streamed:      m.Stream,
	}
	d := jkmsg.Dispatch{Home: h.self, Fingerprint: p.fingerprint, IdleLimit: info.Limits.IdleLimit}
	if limit := info.Limits.MaxDuration; limit > 0 {
		d.Ends = info.Created.Add(limit)
	}
	if m.Kind == jkprogram.KindService {
		call.Kind = jksched.KindService
		call.Service = m.Service
		d.Call = call
		d.Method = m.Method
		d.Path = m.Path
		d.Header = m.Header
		d.Body = m.Body
		return d, nil
	}
	call.Kind = jksched.KindModel
	call.Model = p.request.Model
	call.MaxTokens = int64(p.request.OutputLimit())
	call.PromptTokens = p.submission.MaxCost - call.MaxTokens
	call.Prefix = h.prefix(p)
	d.Call = call
	body, err := json.Marshal(p.request)
	d.Chat = body
	return d, err
}

func (p *plan) priority(configured int) int {
	if p.message.HasPriority {
		return p.message.Priority
	}
	return configured
}

// prefix names the parts of the prompt that an engine may have cached: the
// system message, which programs of a workspace share, and the history.
func (h *Home) prefix(p *plan) []jksched.Segment {
	var segments []jksched.Segment
	first := p.request.Messages[0]
	if first.Role == jkchat.RoleSystem || first.Role == jkchat.RoleDeveloper {
		// Four bytes a token is the usual ratio; the figure only steers
		// placement.
		segments = append(segments, jksched.Segment{Hash: p.submission.Messages[0], Tokens: messageBytes(first)/4 + 1})
	}
	if e := h.extras[p.message.Program]; e != nil && e.historyTokens > 0 {
		history := e.historyTokens
		if len(segments) > 0 {
			history = max(0, history-segments[0].Tokens)
		}
		segments = append(segments, jksched.Segment{Hash: p.message.Program, Tokens: history})
	}
	return segments
}
