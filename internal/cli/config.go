// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package cli

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/leverdyke/leverdyke/internal/command"
	"github.com/leverdyke/leverdyke/internal/operator"
	"github.com/leverdyke/leverdyke/internal/policy"
	"github.com/leverdyke/leverdyke/internal/settings"
)

const noBase = -1

func (a *app) newTemplate() *cobra.Command {
	t := &cobra.Command{Use: "template", Short: "Publish templates of jobs"}
	base := int64(noBase)
	p := &cobra.Command{
		Use: "publish NAME FILE", Short: "Publish a template", Args: args(cobra.ExactArgs(2)),
		Example: "  leverdyke template publish nightly-reconciliation examples/template.yaml",
	}
	p.Flags().Int64Var(&base, "base", noBase, "the version that the change was based on; without it, the one now in force")
	p.RunE = a.run(func(ctx context.Context, c *operator.Client, cmd *cobra.Command, list []string) error {
		return a.publish(ctx, c, cmd, policy.TemplatePrefix+list[0], list[1], base)
	})
	t.AddCommand(p)
	return t
}

func (a *app) newConfig() *cobra.Command {
	c := &cobra.Command{Use: "config", Short: "Publish and show configuration, and see where it is in force"}
	base := int64(noBase)
	publish := &cobra.Command{
		Use: "publish DOCUMENT FILE", Short: "Publish a document: office/NAME, team/NAME, template/NAME or drain/WORKER", Args: args(cobra.ExactArgs(2)),
		Long:    "publish checks a document and replaces the one in force. The change names the\nversion that it was based on: if another operator was first, the exit code is 3\nand nothing changes. A new document has the base 0.",
		Example: "  leverdyke config publish team/filings team.yaml --base 3",
	}
	publish.Flags().Int64Var(&base, "base", noBase, "the version that the change was based on; without it, the one now in force")
	publish.RunE = a.run(func(ctx context.Context, client *operator.Client, cmd *cobra.Command, list []string) error {
		return a.publish(ctx, client, cmd, list[0], list[1], base)
	})
	c.AddCommand(publish, a.newConfigShow(), a.newConfigHistory(), a.newConfigStatus())
	return c
}

// publish checks a file here, so that a bad one is never sent, and publishes it.
func (a *app) publish(ctx context.Context, c *operator.Client, cmd *cobra.Command, doc, path string, base int64) error {
	body, err := readFile(cmd, path)
	if err != nil {
		return err
	}
	return a.publishBody(ctx, c, cmd, doc, path, body, base)
}

func (a *app) publishBody(ctx context.Context, c *operator.Client, cmd *cobra.Command, doc, path, body string, base int64) error {
	if err := policy.Check(doc, path, []byte(body)); err != nil {
		return err
	}
	if base < 0 {
		now, err := currentVersion(ctx, c, doc)
		if err != nil {
			return err
		}
		base = int64(now)
	}
	out, err := c.Publish(ctx, doc, &operator.PublishRequest{Base: uint64(base), File: path, Body: body, Author: author()})
	if err != nil {
		return err
	}
	return a.print(cmd, out, docTable([]operator.Doc{*out}))
}

// currentVersion returns the version in force, or 0 if there is none yet.
func currentVersion(ctx context.Context, c *operator.Client, doc string) (uint64, error) {
	d, err := c.Doc(ctx, doc)
	p := &operator.ProblemError{}
	if errors.As(err, &p) && p.Status == http.StatusNotFound {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	return d.Version, nil
}

func docTable(docs []operator.Doc) command.Table {
	t := command.Table{Head: []string{"DOCUMENT", "VERSION", "OFFSET", "AUTHOR", "AT"}}
	for _, d := range docs {
		t.Rows = append(t.Rows, []string{d.Name, strconv.FormatUint(d.Version, 10), strconv.FormatInt(d.Offset, 10), d.Author, d.At.Format(time.RFC3339)})
	}
	return t
}

func (a *app) newConfigShow() *cobra.Command {
	return &cobra.Command{
		Use: "show [DOCUMENT]", Short: "List the documents in force, or print one", Args: args(cobra.MaximumNArgs(1)),
		RunE: a.run(func(ctx context.Context, c *operator.Client, cmd *cobra.Command, list []string) error {
			if len(list) == 0 {
				docs, err := c.Docs(ctx)
				if err != nil {
					return err
				}
				return a.print(cmd, docs, docTable(docs))
			}
			d, err := c.Doc(ctx, list[0])
			if err != nil {
				return err
			}
			if command.Form(a.output) == command.FormTable {
				_, err = fmt.Fprint(cmd.OutOrStdout(), d.Body)
				return err
			}
			return a.print(cmd, d, command.Table{})
		}),
	}
}

func (a *app) newConfigHistory() *cobra.Command {
	return &cobra.Command{
		Use: "history DOCUMENT", Short: "List the last versions of a document", Args: args(cobra.ExactArgs(1)),
		RunE: a.run(func(ctx context.Context, c *operator.Client, cmd *cobra.Command, list []string) error {
			d, err := c.Doc(ctx, list[0])
			if err != nil {
				return err
			}
			versions := append(d.History, operator.Version{Version: d.Version, Offset: d.Offset, Author: d.Author, At: d.At})
			t := command.Table{Head: []string{"VERSION", "OFFSET", "AUTHOR", "AT"}}
			for _, v := range versions {
				t.Rows = append(t.Rows, []string{strconv.FormatUint(v.Version, 10), strconv.FormatInt(v.Offset, 10), v.Author, v.At.Format(time.RFC3339)})
			}
			return a.print(cmd, versions, t)
		}),
	}
}

func (a *app) newConfigStatus() *cobra.Command {
	return &cobra.Command{
		Use: "status", Short: "Show which offset of the log is in force at each node, and who is behind", Args: args(cobra.NoArgs),
		RunE: a.run(func(ctx context.Context, c *operator.Client, cmd *cobra.Command, _ []string) error {
			nodes, err := c.Nodes(ctx)
			if err != nil {
				return err
			}
			newest := int64(-1)
			for _, n := range nodes {
				newest = max(newest, n.Applied)
			}
			t := command.Table{Head: []string{"NODE", "IN FORCE", "BEHIND", "READY", "LOG", "PROBLEM"}}
			for _, n := range nodes {
				if n.Problem != "" {
					t.Rows = append(t.Rows, []string{n.Operators, "?", "?", "?", "?", n.Problem})
					continue
				}
				log := "ok"
				if n.IsLogOut {
					log = "out"
				}
				t.Rows = append(t.Rows, []string{n.Node, strconv.FormatInt(n.Applied, 10), strconv.FormatInt(newest-n.Applied, 10), strconv.FormatBool(n.IsReady), log, ""})
			}
			return a.print(cmd, nodes, t)
		}),
	}
}

func (a *app) newWorker() *cobra.Command {
	w := &cobra.Command{Use: "worker", Short: "List, drain and undrain workers"}
	list := &cobra.Command{
		Use: "list", Short: "List the workers as the owners of their racks see them", Args: args(cobra.NoArgs),
		RunE: a.run(func(ctx context.Context, c *operator.Client, cmd *cobra.Command, _ []string) error {
			workers, err := c.Workers(ctx)
			if err != nil {
				return err
			}
			slices.SortFunc(workers, func(a, b operator.Worker) int { return strings.Compare(string(a.ID), string(b.ID)) })
			t := command.Table{Head: []string{"WORKER", "ZONE", "STATUS", "RUNNING", "FREE"}}
			for _, k := range workers {
				t.Rows = append(t.Rows, []string{string(k.ID), k.Zone, k.Status, strconv.Itoa(k.Running), k.Free.String()})
			}
			return a.print(cmd, workers, t)
		}),
	}
	w.AddCommand(list, a.newDrain("drain", "Give a worker nothing new; what runs there is finished", "drained: true\n"),
		a.newDrain("undrain", "Give a worker new work again", "drained: false\n"))
	return w
}

func (a *app) newDrain(name, short, body string) *cobra.Command {
	return &cobra.Command{
		Use: name + " WORKER", Short: short, Args: args(cobra.ExactArgs(1)),
		RunE: a.run(func(ctx context.Context, c *operator.Client, cmd *cobra.Command, list []string) error {
			return a.publishBody(ctx, c, cmd, policy.DrainPrefix+list[0], name, body, noBase)
		}),
	}
}

func (a *app) newNode() *cobra.Command {
	n := &cobra.Command{Use: "node", Short: "List nodes, and retire dead ones"}
	n.AddCommand(&cobra.Command{
		Use: "retire NODE", Short: "Say that a silent node's process has ended and does not come back", Args: args(cobra.ExactArgs(1)),
		Long: "retire is for a node that died and whose VM neither comes back nor is shown as\ngone in the platform's list. Until it is known to have ended, the tasks of\nworkers that nobody reaches and that it owned wait. Be sure that its process has\nended: tasks may start a second time if it has not.",
		RunE: a.run(func(ctx context.Context, c *operator.Client, cmd *cobra.Command, list []string) error {
			if err := c.Retire(ctx, list[0]); err != nil {
				return err
			}
			return a.print(cmd, operator.RetireRequest{Node: list[0]}, command.Table{Head: []string{"RETIRED"}, Rows: [][]string{{list[0]}}})
		}),
	})
	n.AddCommand(&cobra.Command{
		Use: "list", Short: "List the nodes and what each owns", Args: args(cobra.NoArgs),
		RunE: a.run(func(ctx context.Context, c *operator.Client, cmd *cobra.Command, _ []string) error {
			nodes, err := c.Nodes(ctx)
			if err != nil {
				return err
			}
			t := command.Table{Head: []string{"NODE", "REGION", "ZONE", "READY", "RACKS", "HOMES", "RUNNING", "WAITING", "SILENT", "PROBLEM"}}
			for _, s := range nodes {
				name := s.Node
				if s.Problem != "" {
					name = s.Operators
				}
				t.Rows = append(t.Rows, []string{
					name, s.Region, s.Zone, strconv.FormatBool(s.IsReady), strconv.Itoa(len(s.Racks)), strconv.Itoa(len(s.Homes)),
					strconv.Itoa(s.Running), strconv.Itoa(s.Waiting), strings.Join(s.Suspects, " "), s.Problem,
				})
			}
			return a.print(cmd, nodes, t)
		}),
	})
	return n
}

func (a *app) newCheck() *cobra.Command {
	doc := ""
	region := ""
	c := &cobra.Command{
		Use: "check FILE", Short: "Check a file offline: a job, or with --as a document or settings", Args: args(cobra.ExactArgs(1)),
		Example: "  leverdyke check examples/batch.yaml\n  leverdyke check team.yaml --as team/filings\n  leverdyke check node.yaml --as settings",
		RunE: func(cmd *cobra.Command, list []string) error {
			body, err := readFile(cmd, list[0])
			if err != nil {
				return err
			}
			if err := checkOffline(doc, list[0], body, region); err != nil {
				return err
			}
			_, err = fmt.Fprintln(cmd.OutOrStdout(), list[0]+": ok")
			return err
		},
	}
	c.Flags().StringVar(&doc, "as", "job", "job, settings, or a document's name such as team/filings")
	c.Flags().StringVar(&region, "region", "r1", "the region of a job that names none")
	return c
}

func checkOffline(doc, path, body, region string) error {
	switch doc {
	case "job":
		none := func(string) *policy.Template { return nil }
		_, err := policy.ParseJob(path, []byte(body), "check", region, none)
		return err
	case "settings":
		_, err := settings.Parse(path, []byte(body))
		return err
	}
	return policy.Check(doc, path, []byte(body))
}
