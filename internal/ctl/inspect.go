package ctl

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/cassiasill/cassiasill/internal/operator/api"
)

const (
	// inForceTimeout is twice the 5 s within which a change is in force
	// everywhere.
	inForceTimeout = 10 * time.Second
	statusPause    = 200 * time.Millisecond
)

type statusCommand struct {
	noExecute
	Wait     bool   `long:"wait" description:"wait until every live host has the revision in force"`
	Revision uint64 `long:"revision" description:"revision to wait for; default is that of the host that answers"`
}

func (c *statusCommand) run(ctx context.Context, env *environment) error {
	status, err := env.client.Status(ctx)
	if err != nil {
		return err
	}
	var waited error
	if c.Wait {
		if c.Revision == 0 {
			c.Revision = status.Revision
		}
		status, waited = awaitStatus(ctx, env, c.Revision)
	}
	if err := printStatus(env, status); err != nil {
		return err
	}
	return waited
}

func printStatus(env *environment, status api.Status) error {
	return env.print(status, func(row func(cells ...any)) {
		row("HOST", "AVAILABILITY ZONE", "REVISION", "STATE")
		for _, h := range status.Hosts {
			state := "in force"
			switch {
			case h.Leaving:
				state = "leaving"
			case !h.Known:
				state = "not heard of"
			case h.Revision < status.Revision:
				state = "behind"
			}
			row(h.Host, h.AvailabilityZone, h.Revision, state)
		}
	})
}

// waitInForce waits after a change and says only what matters then.
func waitInForce(ctx context.Context, env *environment, revision uint64) error {
	status, err := awaitStatus(ctx, env, revision)
	if err == nil {
		fmt.Fprintf(env.stderr, "revision %d is in force on all %d hosts\n", revision, len(status.Hosts))
	}
	return err
}

// awaitStatus asks for the status until every live host has the revision.
func awaitStatus(ctx context.Context, env *environment, revision uint64) (api.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	var last api.Status
	var lacking []string
	for {
		status, err := env.client.Status(ctx)
		if err == nil {
			last, lacking = status, nil
			for _, h := range status.Hosts {
				if !h.Leaving && (!h.Known || h.Revision < revision) {
					lacking = append(lacking, fmt.Sprintf("%s (at %d)", h.Host, h.Revision))
				}
			}
			if len(lacking) == 0 {
				return last, nil
			}
		}
		select {
		case <-time.After(statusPause):
			continue
		case <-ctx.Done():
		}
		if len(lacking) == 0 {
			return last, &exitError{ExitTimeout, fmt.Errorf("the status could not be read: %w", err)}
		}
		return last, &exitError{ExitTimeout, fmt.Errorf("revision %d is not in force on %s", revision, strings.Join(lacking, ", "))}
	}
}

type explainCommand struct {
	noExecute
	Service string `long:"service" description:"only this service"`
	Args    struct {
		Subject string `positional-arg-name:"KEY|CALLER|SERVICE/KEY|SERVICE/CALLER" required:"yes"`
	} `positional-args:"yes"`
}

func (c *explainCommand) run(ctx context.Context, env *environment) error {
	service, subject := c.Service, c.Args.Subject
	if before, after, ok := strings.Cut(subject, "/"); ok && service == "" {
		service, subject = before, after
	}
	reply, err := env.client.Explain(ctx, service, subject)
	if err != nil {
		return err
	}
	return env.print(reply, func(row func(cells ...any)) {
		for i, e := range reply.Explanations {
			if i > 0 {
				row("")
			}
			explainOne(e, row)
		}
	})
}

func explainOne(e api.Explanation, row func(cells ...any)) {
	what := fmt.Sprintf("key %s", e.Key)
	if e.Caller != "" {
		what = fmt.Sprintf("caller %s", e.Caller)
	}
	row(fmt.Sprintf("%s of service %s at revision %d", what, e.Service, e.Revision))
	if e.OwnerState != "" {
		row(fmt.Sprintf("owner: %s (%s)", e.Owner, e.OwnerState))
	}
	for _, l := range e.Labels {
		if l.Source != "" {
			row(fmt.Sprintf("label %s=%s from %s", l.Label, l.Value, l.Source))
		}
	}
	for _, r := range e.Rules {
		applies := "applies: servers " + r.Servers
		if !r.Applies {
			applies = "does not apply: " + r.Reason
		}
		row(fmt.Sprintf("rule %s %s", r.Rule, applies))
	}
	row("SERVER", "ELIGIBLE", "WHY NOT")
	for _, s := range e.Servers {
		eligible := "yes"
		if !s.Eligible {
			eligible = "no"
		}
		row(s.Server, eligible, strings.Join(s.Reasons, "; "))
	}
	if e.Note != "" {
		row("note: " + e.Note)
	}
}
