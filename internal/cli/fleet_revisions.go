package cli

import (
	"context"
	"errors"
	"io"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"stoatdale.example/stoatdale/internal/fleet/control"
	"stoatdale.example/stoatdale/internal/fleet/revision"
)

func (a *app) fleetPushCommand(flags *fleetFlags) *cobra.Command {
	var name string
	c := &cobra.Command{
		Use: "push FILE", Short: "Has every agent keep a revision; nothing runs it yet",
		Long: "The file is what all routers share: the document of GW_CONFIG without name, listen and seed. It is checked by the\n" +
			"router's own reader for every instance before any agent is asked, and again at the agents. Exit status 4 if some\n" +
			"agents could not take it: push again once they can be heard.",
		Example: "  stoatctl fleet push winter.json --name winter", Args: cobra.ExactArgs(1),
		RunE: flags.withClient(func(ctx context.Context, client *control.Client, args []string) error {
			content, err := client.ReadRevision(args[0])
			if err != nil {
				return exitError(ExitUsage, err)
			}
			pushed := client.PushRevision(ctx, content, name)
			if err := a.show(pushed, func(out io.Writer) {
				printf(out, "revision %s is kept by %d of %d agents\n", pushed.Digest, pushed.Stored, pushed.Agents)
				for _, agent := range pushed.Missing {
					printf(out, "%s\n", agent.Failure)
				}
			}); err != nil {
				return err
			}
			if pushed.Stored == 0 {
				return exitError(ExitFailed, errors.New(pushed.Missing[0].Failure))
			}
			if len(pushed.Missing) > 0 {
				return exitErrorf(ExitPaused, "%d agents do not keep the revision", len(pushed.Missing))
			}
			return nil
		}),
	}
	c.Flags().StringVar(&name, "name", "", "name to find the revision by")
	a.addJSONFlag(c)
	return c
}

func (a *app) fleetDiffCommand(flags *fleetFlags) *cobra.Command {
	c := &cobra.Command{
		Use: "diff REVISION [REVISION]", Short: "Shows what a revision changes, and how each instance would take it",
		Long:    "REVISION is a file, the name of a pushed revision or the beginning of its digest. With one, it is held against what runs.",
		Example: "  stoatctl fleet diff winter.json\n  stoatctl fleet diff autumn winter", Args: cobra.RangeArgs(1, 2),
		RunE: flags.withClient(func(ctx context.Context, client *control.Client, args []string) error {
			if len(args) == 2 {
				return a.showDiff(ctx, client, args[0], args[1])
			}
			return a.showPreview(ctx, client, args[0])
		}),
	}
	a.addJSONFlag(c)
	return c
}

// diffReport is what a revision changes.
type diffReport struct {
	Changes []revision.Change        `json:"changes"`
	Effects []control.RevisionEffect `json:"instances,omitempty"` // on each instance, if compared with what runs
}

func (r *diffReport) print(out io.Writer) {
	for _, x := range r.Changes {
		switch {
		case x.From == "":
			printf(out, "+ %s: %s\n", x.Key, x.To)
		case x.To == "":
			printf(out, "- %s: %s\n", x.Key, x.From)
		default:
			printf(out, "  %s: %s -> %s\n", x.Key, x.From, x.To)
		}
	}
	for _, x := range r.Effects {
		printf(out, "%s: %s %s\n", x.Instance, x.Change, strings.Join(x.Keys, ", "))
	}
}

// showDiff shows the changes between two revisions.
func (a *app) showDiff(ctx context.Context, client *control.Client, fromName, toName string) error {
	to, err := revisionContent(ctx, client, toName)
	if err != nil {
		return err
	}
	from, err := revisionContent(ctx, client, fromName)
	if err != nil {
		return err
	}
	return a.showChanges(&diffReport{}, from, to)
}

// showPreview shows what a revision would change in the fleet as it runs. Keys are compared with the revision of the first
// instance that has one: in a fleet between rollouts all run the same.
func (a *app) showPreview(ctx context.Context, client *control.Client, name string) error {
	to, err := revisionContent(ctx, client, name)
	if err != nil {
		return err
	}
	var report diffReport
	if report.Effects, err = client.PreviewEffects(ctx, to); err != nil {
		return exitError(ExitFailed, err)
	}
	var from []byte
	for _, instance := range client.Status(ctx).Instances {
		if instance.Revision == "" {
			continue
		}
		if from, err = revisionContent(ctx, client, instance.Revision); err != nil {
			return err
		}
		break
	}
	return a.showChanges(&report, from, to)
}

// showChanges shows report with the changes between two contents. Without from, as when nothing runs yet, there are none.
func (a *app) showChanges(report *diffReport, from, to []byte) error {
	if from != nil {
		var err error
		if report.Changes, err = revision.Diff(from, to); err != nil {
			return exitError(ExitFailed, err)
		}
	}
	return a.show(report, report.print)
}

// revisionContent reads a revision from the file of that name, if there is one, else from the agents.
func revisionContent(ctx context.Context, client *control.Client, name string) ([]byte, error) {
	if _, err := os.Stat(name); err == nil {
		content, err := client.ReadRevision(name)
		return content, exitError(ExitUsage, err)
	}
	found, err := client.FindRevision(ctx, name)
	if err != nil {
		return nil, exitError(ExitFailed, err)
	}
	content, err := client.RevisionContent(ctx, found.Digest)
	return content, exitError(ExitFailed, err)
}
