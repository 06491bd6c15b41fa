// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package rack

import (
	"time"

	"github.com/leverdyke/leverdyke/internal/node"
	"github.com/leverdyke/leverdyke/internal/state"
	"github.com/leverdyke/leverdyke/internal/worker"
)

const newsRetry = 2 * time.Second

// OnHomeSync makes the sender's epoch the home's own here and answers with all
// of the home's attempts, now and again when the rack is complete.
func (r *Rack) OnHomeSync(m *node.HomeSync) {
	if !r.acceptHome(m.Home, m.HomeEpoch) {
		return
	}
	r.synced[m.Home] = true
	r.dropOldAsks(m.Home, m.HomeEpoch)
	r.tellWhole(m.Home)
}

// dropOldAsks forgets what an earlier owner of the home asked for and has not
// been started.
func (r *Rack) dropOldAsks(home state.ShardID, epoch uint64) {
	kept := r.asks[:0]
	for _, p := range r.asks {
		if p.ask.Home != home || p.ask.HomeEpoch >= epoch {
			kept = append(kept, p)
		}
	}
	r.asks = kept
	r.dropOldUrgents(home, epoch)
}

func (r *Rack) tellWhole(home state.ShardID) {
	n := &node.News{Home: home, Rack: r.ID, RackEpoch: r.Epoch, IsWhole: true, IsComplete: r.IsComplete()}
	for _, h := range sortedHeld(r.held) {
		if h.task.JobShard == string(home) {
			n.Items = append(n.Items, newsItem(h))
		}
	}
	r.out.ToHome = append(r.out.ToHome, HomeMessage{home, node.Message{News: n}})
}

func newsItem(h *held) node.NewsItem {
	s := h.task.State
	if h.phase != phaseEnded {
		s = worker.StateRunning
	}
	return node.NewsItem{Key: h.task.Key, State: s, Worker: h.vm.id, IsLost: h.isLost, IsBlamed: h.isBlamed}
}

// tellNews tells the home of one attempt, joined with others for it.
func (r *Rack) tellNews(h *held) {
	home := state.ShardID(h.task.JobShard)
	for i := range r.out.ToHome {
		m := &r.out.ToHome[i]
		if m.Home == home && m.Message.News != nil && !m.Message.News.IsWhole {
			m.Message.News.Items = append(m.Message.News.Items, newsItem(h))
			return
		}
	}
	n := &node.News{Home: home, Rack: r.ID, RackEpoch: r.Epoch, IsComplete: r.IsComplete(), Items: []node.NewsItem{newsItem(h)}}
	r.out.ToHome = append(r.out.ToHome, HomeMessage{home, node.Message{News: n}})
}

func (r *Rack) resendNews(now time.Time) {
	for _, h := range sortedHeld(r.held) {
		if h.phase != phaseEnded || h.task.Holder != "" || now.Sub(h.told) < newsRetry {
			continue
		}
		h.told = now
		r.tellNews(h)
	}
}

// OnNewsAck forgets attempts whose end the home has recorded.
func (r *Rack) OnNewsAck(m *node.NewsAck) {
	forgets := map[worker.ID][]worker.Key{}
	for _, k := range m.Keys {
		h := r.held[k]
		if h == nil || h.phase != phaseEnded {
			continue
		}
		r.remove(h)
		r.settledOf(m.Home).why[k.Attempt] = ""
		forgets[h.vm.id] = append(forgets[h.vm.id], k)
	}
	for _, id := range r.order {
		if keys := forgets[id]; len(keys) > 0 {
			r.out.Forgets = append(r.out.Forgets, ForgetOrder{id, keys})
		}
	}
}
