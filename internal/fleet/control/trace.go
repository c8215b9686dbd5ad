package control

import (
	"context"
	"fmt"
	"os"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"stoatdale.example/stoatdale/internal/fleet/coordinator"
	"stoatdale.example/stoatdale/internal/fleet/revision"
	"stoatdale.example/stoatdale/internal/fleet/rollout"
)

// Trace writes a rollout and its steps to a file as OpenTelemetry spans.
type Trace struct {
	client   *Client
	file     *os.File
	provider *sdk.TracerProvider
	tracer   trace.Tracer
	rollout  trace.Span
	step     trace.Span // span of the step under way; nil if there is none
}

// NewTrace starts a trace that appends its spans to a file, each as one JSON object. The caller must call Close.
func (c *Client) NewTrace(path string) (*Trace, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("trace: %w", err)
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
	if err != nil {
		_ = file.Close()
		return nil, fmt.Errorf("trace: %w", err)
	}
	provider := sdk.NewTracerProvider(sdk.WithBatcher(exporter))
	t := &Trace{client: c, file: file, provider: provider, tracer: provider.Tracer("stoatdale/fleet")}
	_, t.rollout = t.tracer.Start(context.Background(), "rollout")
	return t, nil
}

// Record adds the events of a rollout to the trace. It has the form that Drive needs for its watch parameter.
func (t *Trace) Record(_ coordinator.View, events []coordinator.Event) {
	for _, e := range events {
		if e.AcquiredEpoch != 0 {
			t.rollout.AddEvent("claimed", trace.WithAttributes(attribute.Int64("epoch", int64(e.AcquiredEpoch))))
		}
		switch e.Action {
		case rollout.ActionBeginStep:
			t.beginStep(e.Step)
		case rollout.ActionCompleteStep, rollout.ActionStartRollback, rollout.ActionFinish:
			t.endStep(e)
		default: // no step has begun or ended
		}
	}
}

func (t *Trace) beginStep(step rollout.Step) {
	inRollout := trace.ContextWithSpan(context.Background(), t.rollout)
	_, t.step = t.tracer.Start(inRollout, "step", trace.WithAttributes(
		attribute.String("instance", t.client.instanceName(step.Instance)),
		attribute.Int64("number", int64(step.Number)),
		attribute.String("revision", revision.ShortDigest(step.Revision)),
		attribute.Bool("back", step.Rollback),
	))
}

func (t *Trace) endStep(e coordinator.Event) {
	if t.step == nil {
		return
	}
	if e.Action != rollout.ActionCompleteStep {
		t.step.SetStatus(codes.Error, t.client.Explain(e.Reason))
	}
	t.step.End()
	t.step = nil
}

// Close ends the open spans, adds the rollout's outcome to the rollout's span, and writes all spans to the file.
func (t *Trace) Close(o coordinator.Outcome) error {
	if t.step != nil {
		t.step.SetStatus(codes.Error, "the tool ended before the step")
		t.step.End()
	}
	t.rollout.SetAttributes(
		attribute.String("id", o.Rollout.ID),
		attribute.String("state", o.Rollout.State.String()),
		attribute.String("why", t.client.Explain(o.Reason)),
	)
	t.rollout.End()
	if err := t.provider.Shutdown(context.Background()); err != nil {
		return fmt.Errorf("trace: %w", err)
	}
	return t.file.Close()
}
