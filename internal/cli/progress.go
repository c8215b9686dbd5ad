package cli

import (
	"fmt"
	"os"

	"github.com/jedib0t/go-pretty/v6/progress"
	"golang.org/x/term"

	"stoatdale.example/stoatdale/internal/fleet/coordinator"
)

// progressBar shows a rollout on a terminal. Without a terminal its methods do nothing.
type progressBar struct {
	writer  progress.Writer // nil without a terminal
	tracker *progress.Tracker
}

func (a *app) newProgressBar(instances int) *progressBar {
	file, ok := a.stderr.(*os.File)
	if !ok || !term.IsTerminal(int(file.Fd())) {
		return &progressBar{}
	}
	b := &progressBar{
		writer:  progress.NewWriter(),
		tracker: &progress.Tracker{Total: int64(instances), Message: "waiting for the claim"},
	}
	b.writer.SetOutputWriter(a.stderr)
	b.writer.SetAutoStop(false)
	b.writer.AppendTracker(b.tracker)
	go b.writer.Render() // returns after stop
	return b
}

func (b *progressBar) update(view coordinator.View) {
	if b.writer == nil || view.Epoch == 0 {
		return
	}
	b.tracker.SetValue(int64(view.Finished))
	message := fmt.Sprintf("%d serve", view.Serving)
	if step := view.Rollout.CurrentStep; step.Number != 0 && step.Instance < len(view.Instances) {
		instance := view.Instances[step.Instance]
		message = fmt.Sprintf("%s: %s, %s", instance.Name, instance.State, message)
	}
	b.tracker.UpdateMessage(message)
}

// stop ends the display and the goroutine that renders it.
func (b *progressBar) stop() {
	if b.writer != nil {
		b.writer.Stop()
	}
}
