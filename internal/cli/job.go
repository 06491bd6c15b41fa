// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/command"
	"github.com/leverdyke/leverdyke/internal/operator"
)

// pollInterval is the time between two requests for the state of a job.
const pollInterval = 300 * time.Millisecond

func (a *app) newJob() *cobra.Command {
	job := &cobra.Command{Use: "job", Short: "Submit, list, show, cancel and explain jobs"}
	job.AddCommand(a.newJobSubmit(), a.newJobList(), a.newJobShow(), a.newJobCancel(), a.newJobExplain())
	return job
}

func (a *app) newJobSubmit() *cobra.Command {
	id := ""
	wait := time.Duration(0)
	c := &cobra.Command{
		Use: "submit FILE", Short: "Submit a job; submitting it again with the same --id does not create a second one", Args: checkArgs(cobra.ExactArgs(1)),
		Example: "  leverdyke job submit examples/batch.yaml\n  leverdyke job submit - --id nightly-2026-12-02 --wait 30s < job.yaml",
	}
	c.Flags().StringVar(&id, "id", "", "the ID of the job; without it, a new one is generated")
	c.Flags().DurationVar(&wait, "wait", 0, "wait up to this long until all tasks run or have ended")
	c.RunE = a.withClient(func(ctx context.Context, client *operator.Client, cmd *cobra.Command, args []string) error {
		body, err := readFile(cmd, args[0])
		if err != nil {
			return err
		}
		if id == "" {
			newID, err := uuid.NewV7()
			if err != nil {
				return fmt.Errorf("cli: %w", err)
			}
			id = newID.String()
		}
		out, err := client.Submit(ctx, &operator.SubmitRequest{ID: id, File: args[0], Body: body})
		if err != nil {
			return err
		}
		if wait > 0 {
			if err := a.waitForTasks(ctx, client, cmd, id, wait); err != nil {
				return err
			}
		}
		return a.print(cmd, out, command.Table{Header: []string{"JOB", "OFFSET"}, Rows: [][]string{{out.ID, strconv.FormatInt(out.Offset, 10)}}})
	})
	return c
}

// waitForTasks polls a job until all its tasks run or have ended, and shows the number of
// tasks in each state. After the time wait it returns an error.
func (a *app) waitForTasks(ctx context.Context, client *operator.Client, cmd *cobra.Command, id string, wait time.Duration) error {
	deadline := time.Now().Add(wait)
	for {
		j, err := client.Job(ctx, id)
		if err != nil {
			return err
		}
		counts := countTasks(j)
		if !a.isQuiet {
			fmt.Fprintln(cmd.ErrOrStderr(), "…", formatCounts(counts))
		}
		notStarted := counts[leverdyke.TaskWaiting] + counts[leverdyke.TaskAsked]
		if j.IsEnded || (j.Live != nil && notStarted == 0) {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("cli: job %s is accepted, but %d tasks still wait after %v: %s", id, notStarted, wait, waitReason(j))
		}
		time.Sleep(pollInterval)
	}
}

// countTasks returns the number of tasks in each state. Without the current state of the
// tasks, it counts those that have ended, which the log has.
func countTasks(j *operator.Job) map[leverdyke.TaskState]int {
	counts := map[leverdyke.TaskState]int{}
	if j.Live == nil {
		for s, n := range j.Final {
			counts[s] += n
		}
		return counts
	}
	for _, t := range j.Live.Tasks {
		counts[t.State]++
	}
	return counts
}

// formatCounts returns a text such as "running 3, waiting 1", or "-" if there are no tasks.
func formatCounts(counts map[leverdyke.TaskState]int) string {
	parts := []string{}
	for s, n := range counts {
		parts = append(parts, fmt.Sprintf("%s %d", s, n))
	}
	if len(parts) == 0 {
		return "-"
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}

// waitReason returns the reason why a job waits, failed or has nothing left to start.
func waitReason(j *operator.Job) string {
	switch {
	case j.Reason != "":
		return j.Reason
	case j.IsCancelled:
		return "it was cancelled"
	case j.IsEnded:
		return "it has ended"
	case j.Live == nil:
		return "the node that owns the job did not answer"
	case j.Live.Why == "":
		return "all its tasks run or have ended"
	}
	return j.Live.Why
}

func (a *app) newJobList() *cobra.Command {
	all := false
	c := &cobra.Command{
		Use: "list", Short: "List the jobs that have not ended", Args: checkArgs(cobra.NoArgs),
		Example: "  leverdyke job list --all -o json",
	}
	c.Flags().BoolVar(&all, "all", false, "also list jobs that have ended")
	c.RunE = a.withClient(func(ctx context.Context, client *operator.Client, cmd *cobra.Command, _ []string) error {
		jobs, err := client.Jobs(ctx)
		if err != nil {
			return err
		}
		jobs = slices.DeleteFunc(jobs, func(j operator.Job) bool { return j.IsEnded && !all })
		t := command.Table{Header: []string{"JOB", "TEAM", "CUSTOMER", "KIND", "CLASS", "TASKS", "ENDED", "FAILURES"}}
		for i := range jobs {
			j := &jobs[i]
			t.Rows = append(t.Rows, []string{
				j.Spec.ID, j.Spec.Team, j.Spec.Customer, string(j.Spec.Kind), string(j.Spec.Class), strconv.Itoa(j.Spec.Tasks),
				formatCounts(j.Final), strconv.Itoa(j.Failures),
			})
		}
		return a.print(cmd, jobs, t)
	})
	return c
}

func (a *app) newJobShow() *cobra.Command {
	return &cobra.Command{
		Use: "show JOB", Short: "Show a job and where its tasks run", Args: checkArgs(cobra.ExactArgs(1)),
		RunE: a.withClient(func(ctx context.Context, client *operator.Client, cmd *cobra.Command, args []string) error {
			j, err := client.Job(ctx, args[0])
			if err != nil {
				return err
			}
			t := command.Table{Header: []string{"TASK", "STATE", "WORKER", "ATTEMPT"}}
			if j.Live == nil {
				t = command.Table{Header: []string{"STATE", "TASKS"}, Rows: [][]string{{formatCounts(j.Final), strconv.Itoa(j.Spec.Tasks)}}}
			} else {
				for _, task := range j.Live.Tasks {
					t.Rows = append(t.Rows, []string{strconv.Itoa(task.Index), string(task.State), string(task.Worker), strconv.FormatUint(task.Attempt, 10)})
				}
			}
			return a.print(cmd, j, t)
		}),
	}
}

func (a *app) newJobExplain() *cobra.Command {
	return &cobra.Command{
		Use: "explain JOB", Short: "Show why a job waits, or why it can never run", Args: checkArgs(cobra.ExactArgs(1)),
		RunE: a.withClient(func(ctx context.Context, client *operator.Client, cmd *cobra.Command, args []string) error {
			j, err := client.Job(ctx, args[0])
			if err != nil {
				return err
			}
			t := command.Table{Header: []string{"JOB", "TASKS", "WHY"}, Rows: [][]string{{j.Spec.ID, formatCounts(countTasks(j)), waitReason(j)}}}
			return a.print(cmd, j, t)
		}),
	}
}

func (a *app) newJobCancel() *cobra.Command {
	return &cobra.Command{
		Use: "cancel JOB...", Short: "Cancel jobs, with one request for all of them; - reads their IDs from standard input", Args: checkArgs(cobra.MinimumNArgs(1)),
		Example: "  leverdyke job list -o json | jq -r '.[].spec.id' | leverdyke job cancel -",
		RunE: a.withClient(func(ctx context.Context, client *operator.Client, cmd *cobra.Command, args []string) error {
			if len(args) == 1 && args[0] == "-" {
				data, err := io.ReadAll(cmd.InOrStdin())
				if err != nil {
					return fmt.Errorf("cli: %w", err)
				}
				args = strings.Fields(string(data))
			}
			out, err := client.Cancel(ctx, args)
			if err != nil {
				return err
			}
			if err := a.print(cmd, out, command.Table{Header: []string{"CANCELLED", "ASKED"}, Rows: [][]string{{strconv.Itoa(out.Cancelled), strconv.Itoa(len(args))}}}); err != nil {
				return err
			}
			if out.Cancelled < len(args) {
				return errors.New("cli: fewer jobs were cancelled than requested: some of them do not exist")
			}
			return nil
		}),
	}
}
