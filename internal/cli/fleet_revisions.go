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
		Use: "push FILE", Short: "Stores a revision at every agent, without running it",
		Long: "The file holds the settings that all routers share: the document of GW_CONFIG without name, listen and seed. Before\n" +
			"any agent is called, the router's own parser checks the file for every instance; each agent checks it again. Exit status 4\n" +
			"if some agents did not store it: push again once they can be reached.",
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
				return exitErrorf(ExitPaused, "%d agents did not store the revision", len(pushed.Missing))
			}
			return nil
		}),
	}
	c.Flags().StringVar(&name, "name", "", "name by which other commands find the revision")
	a.addJSONFlag(c)
	return c
}

func (a *app) fleetDiffCommand(flags *fleetFlags) *cobra.Command {
	c := &cobra.Command{
		Use: "diff REVISION [REVISION]", Short: "Shows what a revision changes, and how it would change each instance",
		Long: "REVISION is a file, the name of a pushed revision or the beginning of its digest. One REVISION is compared\n" +
			"with the running fleet; of two, the changes from the first to the second are shown.",
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

// diffReport lists the changes that a revision makes.
type diffReport struct {
	Changes []revision.Change        `json:"changes"`
	Effects []control.RevisionEffect `json:"instances,omitempty"` // on each instance; empty if two revisions were compared
}

func (r *diffReport) print(out io.Writer) {
	for _, change := range r.Changes {
		switch {
		case change.From == "":
			printf(out, "+ %s: %s\n", change.Key, change.To)
		case change.To == "":
			printf(out, "- %s: %s\n", change.Key, change.From)
		default:
			printf(out, "  %s: %s -> %s\n", change.Key, change.From, change.To)
		}
	}
	for _, effect := range r.Effects {
		printf(out, "%s: %s %s\n", effect.Instance, effect.Change, strings.Join(effect.Keys, ", "))
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

// showPreview shows what a revision would change in the running fleet. It compares keys with the revision of the first
// instance that has one, since between rollouts all instances run the same revision.
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

// showChanges adds the changes between two contents to the report, and prints the report. With a nil from, when no instance
// runs a revision yet, it adds none.
func (a *app) showChanges(report *diffReport, from, to []byte) error {
	if from != nil {
		var err error
		if report.Changes, err = revision.Diff(from, to); err != nil {
			return exitError(ExitFailed, err)
		}
	}
	return a.show(report, report.print)
}

// revisionContent returns the content of the file of that name if it exists, else of the pushed revision with that name or
// beginning of its digest.
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
