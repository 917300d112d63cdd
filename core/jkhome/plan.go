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
	// defaultOutputTokens is the output limit of a call that sets none.
	defaultOutputTokens = 4096
	// messageOverheadTokens bounds the tokens that an engine adds to each message for
	// its role and separators.
	messageOverheadTokens = 16
	// defaultCallTimeout and defaultToolTimeout apply where the configuration sets
	// no timeout.
	defaultCallTimeout = 2 * time.Minute
	defaultToolTimeout = 30 * time.Second
)

// callPlan is a call with the values derived from its request.
type callPlan struct {
	message    jkmsg.Call
	request    jkchat.Request
	submission jkprogram.Submission
	// fingerprint is the digest of the content; the quarantine counts crashes by it.
	fingerprint string
	repeatable  bool
	timeout     time.Duration
}

// newCallPlan parses a request and, on m.Append, puts the program's history in front of
// its messages. The error is returned to the caller.
func (h *Home) newCallPlan(m jkmsg.Call, claims *jktoken.Claims) (*callPlan, error) {
	p := &callPlan{message: m, submission: jkprogram.Submission{
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

// history returns the chat messages of a program's completed turns.
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

func (h *Home) planService(p *callPlan) {
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

func (h *Home) planChat(p *callPlan) {
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

// setCostBound sets the output limit of a call and the upper bound of its cost in
// tokens, which the budget reserves. The prompt is bounded by the known length of the
// history plus one token for each new byte, because no token is shorter than a byte.
// The caller holds the lock.
func (h *Home) setCostBound(p *callPlan) {
	if p.message.Kind != jkprogram.KindModel {
		return
	}
	prompt := int64(0)
	known := 0
	if e := h.hints[p.message.Program]; e != nil && e.historyMessages <= len(p.request.Messages) {
		prompt = e.historyTokens
		known = e.historyMessages
	}
	for _, m := range p.request.Messages[known:] {
		prompt += messageOverheadTokens + messageBytes(m)
	}
	output := int64(p.request.OutputLimit())
	if output == 0 {
		output = h.defaultOutputLimit(p.message.Program, prompt)
		p.request.MaxTokens = int(output)
	}
	p.submission.MaxCost = prompt + output
}

// defaultOutputLimit returns the tokens that the budget leaves after the prompt, capped
// at defaultOutputTokens.
func (h *Home) defaultOutputLimit(program string, prompt int64) int64 {
	info, ok := h.core.Info(program)
	if !ok {
		return defaultOutputTokens
	}
	return max(1, min(defaultOutputTokens, info.Budget-info.Spent-prompt))
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

// messageDigest returns a digest over the fields of a message that an engine reads.
// Others are left out because client libraries drop or reorder them when they resend a
// message.
func messageDigest(m jkchat.Message) string {
	parts := []string{string(m.Role), m.Content.String(), m.Name, m.ToolCallID}
	for _, t := range m.ToolCalls {
		parts = append(parts, t.ID, t.Function.Name, t.Function.Arguments)
	}
	return fingerprint(parts...)
}

// fingerprint returns a digest of the parts, each prefixed with its length.
func fingerprint(parts ...string) string {
	var d xxhash.Digest
	d.Reset()
	for _, p := range parts {
		_, _ = d.WriteString(strconv.Itoa(len(p)) + ":" + p)
	}
	return strconv.FormatUint(d.Sum64(), 36)
}

// checkConfig checks a call that is about to start against the quarantine and the
// configuration, and sets the timeout of the program's template.
func (h *Home) checkConfig(p *callPlan, template string) error {
	if h.options.IsQuarantined(p.fingerprint, h.Self()) {
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

// dispatchMessage builds the message for the dispatcher. The caller holds the lock.
func (h *Home) dispatchMessage(p *callPlan, info jkprogram.Info, deadline time.Time) (jkmsg.Dispatch, error) {
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
		d.ProgramEnd = info.Created.Add(limit)
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
	call.Prefix = h.prefixSegments(p)
	d.Call = call
	body, err := json.Marshal(p.request)
	d.Chat = body
	return d, err
}

func (p *callPlan) priority(configured int) int {
	if p.message.HasPriority {
		return p.message.Priority
	}
	return configured
}

// prefixSegments returns the parts of the prompt that may be in an engine's prefix
// cache: the system message, which the programs of a workspace share, and the history.
func (h *Home) prefixSegments(p *callPlan) []jksched.Segment {
	var segments []jksched.Segment
	first := p.request.Messages[0]
	if first.Role == jkchat.RoleSystem || first.Role == jkchat.RoleDeveloper {
		// Four bytes a token is a typical ratio; the estimate only affects
		// placement.
		segments = append(segments, jksched.Segment{Hash: p.submission.Messages[0], Tokens: messageBytes(first)/4 + 1})
	}
	if e := h.hints[p.message.Program]; e != nil && e.historyTokens > 0 {
		history := e.historyTokens
		if len(segments) > 0 {
			history = max(0, history-segments[0].Tokens)
		}
		segments = append(segments, jksched.Segment{Hash: p.message.Program, Tokens: history})
	}
	return segments
}
