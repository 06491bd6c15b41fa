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

// baseUnset is the value of the flag --base when it is not given.
const baseUnset = -1

func (a *app) newTemplate() *cobra.Command {
	t := &cobra.Command{Use: "template", Short: "Publish templates of jobs"}
	base := int64(baseUnset)
	p := &cobra.Command{
		Use: "publish NAME FILE", Short: "Publish a template", Args: checkArgs(cobra.ExactArgs(2)),
		Example: "  leverdyke template publish nightly-reconciliation examples/template.yaml",
	}
	p.Flags().Int64Var(&base, "base", baseUnset, "the version on which the change is based; by default, the one in force now")
	p.RunE = a.withClient(func(ctx context.Context, c *operator.Client, cmd *cobra.Command, args []string) error {
		return a.publish(ctx, c, cmd, policy.TemplatePrefix+args[0], args[1], base)
	})
	t.AddCommand(p)
	return t
}

func (a *app) newConfig() *cobra.Command {
	c := &cobra.Command{Use: "config", Short: "Publish and show configuration, and show which nodes have applied it"}
	base := int64(baseUnset)
	publish := &cobra.Command{
		Use: "publish DOCUMENT FILE", Short: "Publish a document: office/NAME, team/NAME, template/NAME, drain/WORKER or zone/NAME", Args: checkArgs(cobra.ExactArgs(2)),
		Long:    "publish checks a document and replaces the version in force. The request names\nthe version on which the change is based: if another operator has replaced that\nversion, the exit code is 3 and nothing changes. A new document has the base 0.",
		Example: "  leverdyke config publish team/filings team.yaml --base 3",
	}
	publish.Flags().Int64Var(&base, "base", baseUnset, "the version on which the change is based; by default, the one in force now")
	publish.RunE = a.withClient(func(ctx context.Context, client *operator.Client, cmd *cobra.Command, args []string) error {
		return a.publish(ctx, client, cmd, args[0], args[1], base)
	})
	c.AddCommand(publish, a.newConfigShow(), a.newConfigHistory(), a.newConfigStatus())
	return c
}

// publish reads a document from a file and publishes it.
func (a *app) publish(ctx context.Context, c *operator.Client, cmd *cobra.Command, doc, path string, base int64) error {
	body, err := readFile(cmd, path)
	if err != nil {
		return err
	}
	return a.publishBody(ctx, c, cmd, doc, path, body, base)
}

// publishBody checks a document before it sends it, so that an invalid one never reaches a
// node, and publishes it. If base is baseUnset, it replaces the version now in force.
func (a *app) publishBody(ctx context.Context, c *operator.Client, cmd *cobra.Command, doc, path, body string, base int64) error {
	if err := policy.Check(doc, path, []byte(body)); err != nil {
		return err
	}
	if base < 0 {
		current, err := currentVersion(ctx, c, doc)
		if err != nil {
			return err
		}
		base = int64(current)
	}
	out, err := c.Publish(ctx, doc, &operator.PublishRequest{Base: uint64(base), File: path, Body: body, Author: author()})
	if err != nil {
		return err
	}
	return a.print(cmd, out, docTable([]operator.Doc{*out}))
}

// currentVersion returns the version of a document that is in force, or 0 if the document
// does not exist.
func currentVersion(ctx context.Context, c *operator.Client, doc string) (uint64, error) {
	document, err := c.Doc(ctx, doc)
	p := &operator.ProblemError{}
	if errors.As(err, &p) && p.Status == http.StatusNotFound {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	return document.Version, nil
}

// docTable returns the documents as a table, without their texts.
func docTable(docs []operator.Doc) command.Table {
	t := command.Table{Header: []string{"DOCUMENT", "VERSION", "OFFSET", "AUTHOR", "AT"}}
	for _, document := range docs {
		t.Rows = append(t.Rows, []string{document.Name, strconv.FormatUint(document.Version, 10), strconv.FormatInt(document.Offset, 10), document.Author, document.At.Format(time.RFC3339)})
	}
	return t
}

func (a *app) newConfigShow() *cobra.Command {
	return &cobra.Command{
		Use: "show [DOCUMENT]", Short: "List the documents in force, or print one", Args: checkArgs(cobra.MaximumNArgs(1)),
		RunE: a.withClient(func(ctx context.Context, c *operator.Client, cmd *cobra.Command, args []string) error {
			if len(args) == 0 {
				docs, err := c.Docs(ctx)
				if err != nil {
					return err
				}
				return a.print(cmd, docs, docTable(docs))
			}
			document, err := c.Doc(ctx, args[0])
			if err != nil {
				return err
			}
			if command.Format(a.output) == command.FormatTable {
				_, err = fmt.Fprint(cmd.OutOrStdout(), document.Body)
				return err
			}
			return a.print(cmd, document, command.Table{})
		}),
	}
}

func (a *app) newConfigHistory() *cobra.Command {
	return &cobra.Command{
		Use: "history DOCUMENT", Short: "List the recent versions of a document", Args: checkArgs(cobra.ExactArgs(1)),
		RunE: a.withClient(func(ctx context.Context, c *operator.Client, cmd *cobra.Command, args []string) error {
			document, err := c.Doc(ctx, args[0])
			if err != nil {
				return err
			}
			versions := append(document.History, operator.Version{Version: document.Version, Offset: document.Offset, Author: document.Author, At: document.At})
			t := command.Table{Header: []string{"VERSION", "OFFSET", "AUTHOR", "AT"}}
			for _, v := range versions {
				t.Rows = append(t.Rows, []string{strconv.FormatUint(v.Version, 10), strconv.FormatInt(v.Offset, 10), v.Author, v.At.Format(time.RFC3339)})
			}
			return a.print(cmd, versions, t)
		}),
	}
}

func (a *app) newConfigStatus() *cobra.Command {
	return &cobra.Command{
		Use: "status", Short: "Show up to which offset each node has applied the log, and how far it is behind", Args: checkArgs(cobra.NoArgs),
		RunE: a.withClient(func(ctx context.Context, c *operator.Client, cmd *cobra.Command, _ []string) error {
			nodes, err := c.Nodes(ctx)
			if err != nil {
				return err
			}
			newest := int64(-1)
			for _, node := range nodes {
				newest = max(newest, node.Applied)
			}
			t := command.Table{Header: []string{"NODE", "IN FORCE", "BEHIND", "READY", "LOG", "PROBLEM"}}
			for _, node := range nodes {
				if node.Problem != "" {
					t.Rows = append(t.Rows, []string{node.Operators, "?", "?", "?", "?", node.Problem})
					continue
				}
				log := "ok"
				if node.IsLogUnavailable {
					log = "out"
				}
				t.Rows = append(t.Rows, []string{node.Node, strconv.FormatInt(node.Applied, 10), strconv.FormatInt(newest-node.Applied, 10), strconv.FormatBool(node.IsReady), log, ""})
			}
			return a.print(cmd, nodes, t)
		}),
	}
}

func (a *app) newWorker() *cobra.Command {
	w := &cobra.Command{Use: "worker", Short: "List, drain and undrain workers"}
	list := &cobra.Command{
		Use: "list", Short: "List the workers, as the owners of their racks report them", Args: checkArgs(cobra.NoArgs),
		RunE: a.withClient(func(ctx context.Context, c *operator.Client, cmd *cobra.Command, _ []string) error {
			workers, err := c.Workers(ctx)
			if err != nil {
				return err
			}
			slices.SortFunc(workers, func(a, b operator.Worker) int { return strings.Compare(string(a.ID), string(b.ID)) })
			t := command.Table{Header: []string{"WORKER", "ZONE", "STATUS", "RUNNING", "FREE"}}
			for _, k := range workers {
				t.Rows = append(t.Rows, []string{string(k.ID), k.Zone, k.Status, strconv.Itoa(k.Running), k.Free.String()})
			}
			return a.print(cmd, workers, t)
		}),
	}
	w.AddCommand(list, a.newDrain("drain WORKER", "Start no new tasks on a worker; those that run there continue to their end", policy.DrainPrefix, drainBody),
		a.newDrain("undrain WORKER", "Start new tasks on a worker again", policy.DrainPrefix, undrainBody))
	return w
}

// drainBody and undrainBody are the documents that drain a worker or a zone, and that take it back.
const (
	drainBody   = "drained: true\n"
	undrainBody = "drained: false\n"
)

// newDrain returns a command that publishes body as the document of a worker or a zone.
func (a *app) newDrain(use, short, prefix, body string) *cobra.Command {
	return &cobra.Command{
		Use: use, Short: short, Args: checkArgs(cobra.ExactArgs(1)),
		RunE: a.withClient(func(ctx context.Context, c *operator.Client, cmd *cobra.Command, args []string) error {
			return a.publishBody(ctx, c, cmd, prefix+args[0], cmd.Name(), body, baseUnset)
		}),
	}
}

func (a *app) newZone() *cobra.Command {
	z := &cobra.Command{Use: "zone", Short: "Drain and undrain availability zones, and list the drained ones"}
	list := &cobra.Command{
		Use: "list", Short: "List the drained availability zones", Args: checkArgs(cobra.NoArgs),
		RunE: a.withClient(func(ctx context.Context, c *operator.Client, cmd *cobra.Command, _ []string) error {
			drained, err := drainedZones(ctx, c)
			if err != nil {
				return err
			}
			return a.print(cmd, drained, docTable(drained))
		}),
	}
	z.AddCommand(list, a.newDrain("drain ZONE", "Start no new tasks on any worker of a zone; those that run there continue to their end", policy.ZonePrefix, drainBody),
		a.newDrain("undrain ZONE", "Start new tasks on the workers of a zone again", policy.ZonePrefix, undrainBody))
	return z
}

// drainedZones returns the documents of the zones that are drained.
func drainedZones(ctx context.Context, c *operator.Client) ([]operator.Doc, error) {
	docs, err := c.Docs(ctx)
	if err != nil {
		return nil, err
	}
	drained := []operator.Doc{}
	for i := range docs {
		if !strings.HasPrefix(docs[i].Name, policy.ZonePrefix) {
			continue
		}
		doc, err := c.Doc(ctx, docs[i].Name)
		if err != nil {
			return nil, err
		}
		if d, err := policy.ParseDrain(doc.Name, []byte(doc.Body)); err == nil && d.IsDrained {
			drained = append(drained, *doc)
		}
	}
	return drained, nil
}

func (a *app) newNode() *cobra.Command {
	node := &cobra.Command{Use: "node", Short: "List nodes, and retire dead ones"}
	node.AddCommand(&cobra.Command{
		Use: "retire NODE", Short: "Declare that the process of a node that does not answer has ended and will not come back", Args: checkArgs(cobra.ExactArgs(1)),
		Long: "retire is for a node that failed and whose VM neither comes back nor is shown as\nremoved in the platform's list of VMs. Until the node's process is known to have\nended, the tasks on workers that it owned and that no node reaches have to wait.\nMake sure that the process has ended: if it has not, tasks may run twice.",
		RunE: a.withClient(func(ctx context.Context, c *operator.Client, cmd *cobra.Command, args []string) error {
			if err := c.Retire(ctx, args[0]); err != nil {
				return err
			}
			return a.print(cmd, operator.RetireRequest{Node: args[0]}, command.Table{Header: []string{"RETIRED"}, Rows: [][]string{{args[0]}}})
		}),
	})
	node.AddCommand(&cobra.Command{
		Use: "list", Short: "List the nodes and how many racks and job shards each owns", Args: checkArgs(cobra.NoArgs),
		RunE: a.withClient(func(ctx context.Context, c *operator.Client, cmd *cobra.Command, _ []string) error {
			nodes, err := c.Nodes(ctx)
			if err != nil {
				return err
			}
			t := command.Table{Header: []string{"NODE", "REGION", "ZONE", "READY", "RACKS", "HOMES", "RUNNING", "WAITING", "SILENT", "PROBLEM"}}
			for _, s := range nodes {
				name := s.Node
				if s.Problem != "" {
					name = s.Operators
				}
				t.Rows = append(t.Rows, []string{
					name, s.Region, s.Zone, strconv.FormatBool(s.IsReady), strconv.Itoa(len(s.Racks)), strconv.Itoa(len(s.JobShards)),
					strconv.Itoa(s.Running), strconv.Itoa(s.Waiting), strings.Join(s.Suspects, " "), s.Problem,
				})
			}
			return a.print(cmd, nodes, t)
		}),
	})
	return node
}

func (a *app) newCheck() *cobra.Command {
	doc := ""
	region := ""
	c := &cobra.Command{
		Use: "check FILE", Short: "Check a file without sending it: a job, or with --as a document or settings", Args: checkArgs(cobra.ExactArgs(1)),
		Example: "  leverdyke check examples/batch.yaml\n  leverdyke check team.yaml --as team/filings\n  leverdyke check node.yaml --as settings",
		RunE: func(cmd *cobra.Command, args []string) error {
			body, err := readFile(cmd, args[0])
			if err != nil {
				return err
			}
			if err := checkOffline(doc, args[0], body, region); err != nil {
				return err
			}
			_, err = fmt.Fprintln(cmd.OutOrStdout(), args[0]+": ok")
			return err
		},
	}
	c.Flags().StringVar(&doc, "as", "job", "job, settings, or a document's name such as team/filings")
	c.Flags().StringVar(&region, "region", "r1", "the region of a job whose file names none")
	return c
}

// checkOffline checks a file of the kind that doc names. It knows no templates, so a job that
// uses one is invalid.
func checkOffline(doc, path, body, region string) error {
	switch doc {
	case "job":
		noTemplates := func(string) *policy.Template { return nil }
		_, err := policy.ParseJob(path, []byte(body), "check", region, noTemplates)
		return err
	case "settings":
		_, err := settings.Parse(path, []byte(body))
		return err
	}
	return policy.Check(doc, path, []byte(body))
}
