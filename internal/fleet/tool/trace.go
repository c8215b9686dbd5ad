package tool

import (
	"context"
	"fmt"
	"os"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"stoatdale.example/stoatdale/internal/fleet/plan"
	"stoatdale.example/stoatdale/internal/fleet/revision"
	"stoatdale.example/stoatdale/internal/fleet/roll"
)

// Trace writes a rollout and its steps as spans to a file.
type Trace struct {
	client   *Client
	file     *os.File
	provider *sdk.TracerProvider
	tracer   trace.Tracer
	ctx      context.Context
	rollout  trace.Span
	step     trace.Span
}

// NewTrace begins a file of spans, one JSON object each.
func (t *Client) NewTrace(path string) (*Trace, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("trace: %w", err)
	}
	e, err := stdouttrace.New(stdouttrace.WithWriter(f))
	if err != nil {
		_ = f.Close()
		return nil, fmt.Errorf("trace: %w", err)
	}
	p := sdk.NewTracerProvider(sdk.WithBatcher(e))
	x := &Trace{client: t, file: f, provider: p, tracer: p.Tracer("stoatdale/fleet")}
	x.ctx, x.rollout = x.tracer.Start(context.Background(), "rollout")
	return x, nil
}

// Watch takes in what has come about.
func (x *Trace) Record(_ roll.View, events []roll.Event) {
	for _, e := range events {
		if e.AcquiredEpoch != 0 {
			x.rollout.AddEvent("claimed", trace.WithAttributes(attribute.Int64("epoch", int64(e.AcquiredEpoch))))
		}
		switch e.Action {
		case plan.ActionBeginStep:
			_, x.step = x.tracer.Start(x.ctx, "step", trace.WithAttributes(
				attribute.String("instance", x.client.instanceName(e.Step.Instance)), attribute.Int64("number", int64(e.Step.Number)),
				attribute.String("revision", revision.ShortDigest(e.Step.Revision)), attribute.Bool("back", e.Step.Rollback)))
		case plan.ActionCompleteStep, plan.ActionStartRollback, plan.ActionFinish:
			x.endStep(e)
		}
	}
}

func (x *Trace) endStep(e roll.Event) {
	if x.step == nil {
		return
	}
	if e.Action != plan.ActionCompleteStep {
		x.step.SetStatus(codes.Error, x.client.Explain(e.Reason))
	}
	x.step.End()
	x.step = nil
}

// Close ends the spans with the rollout's outcome and writes them.
func (x *Trace) Close(o roll.Outcome) error {
	if x.step != nil {
		x.step.SetStatus(codes.Error, "the tool ended")
		x.step.End()
	}
	x.rollout.SetAttributes(attribute.String("id", o.Rollout.ID), attribute.String("state", o.Rollout.State.String()),
		attribute.String("why", x.client.Explain(o.Reason)))
	x.rollout.End()
	if err := x.provider.Shutdown(context.Background()); err != nil {
		return fmt.Errorf("trace: %w", err)
	}
	return x.file.Close()
}
