/* Begins and ends the faults of the soak at their times. */
#include "clock.h"
#include "partition.h"
#include "soak.h"
#include <signal.h>
#include <stdio.h>
#include <string.h>

#define RELIST_US 1500000 /* from the recovery of the store until lapsed entries are listed */
#define GROWN_ROUTES 1500 /* about 0.3 MB: far more than is forwarded without a request */

static void write_conf(struct soak *s)
{
	static char keys[64];
	struct soak_version v = {0};

	g_snprintf(keys, sizeof keys, "[\"k1\",\"r%d\"]", s->key);
	pw_conf.keys = keys;
	pw_conf.version += 1 + (int)(s->key % 3);
	pw_conf_write();
	v.version = pw_conf.version;
	v.written_us = clock_us();
	g_array_append_val(s->versions, v);
}

static void grow(struct soak *s, int routes)
{
	if (pw_conf.extra_routes == routes) return;
	pw_conf.extra_routes = routes;
	write_conf(s);
}

static void change_keys(struct soak *s)
{
	if (s->key + 1 >= (int)G_N_ELEMENTS(s->key_revoked_us)) return;
	s->key++;
	write_conf(s);
	s->key_revoked_us[s->key - 1] = clock_us();
}

static void move_route(struct soak *s)
{
	pw_conf.safe_service = strcmp(pw_conf.safe_service, "app") ? "app" : "app2";
	write_conf(s);
	s->safe_moved_us = clock_us();
}

static void set_store(int variant)
{
	static const enum pw_store_mode modes[] = {PW_STORE_DOWN, PW_STORE_BUSY, PW_STORE_LOST,
						   PW_STORE_SILENT};

	pw_store.mode = modes[variant % G_N_ELEMENTS(modes)];
}

static void signal_entry(struct soak_entry *e, int sig)
{
	if (e->down || e->stopping || e->frozen) return;
	if (sig == SIGKILL) e->down = 1;
	if (sig == SIGTERM) e->stopping = 1;
	if (sig == SIGSTOP) e->frozen = 1;
	pw_entry_kill(e->pw, sig);
}

/* Silences connections; bits of which: to the store, between entries, to servers. */
static void silence(struct soak *s, int which)
{
	int i;

	for (i = 0; i < SOAK_ENTRIES; i++) {
		if (which & 1) proxy_silence(s->entry[i].store);
		if (which & 2) proxy_silence(s->entry[i].peers);
	}
	for (i = 0; i < s->nservers; i++)
		if (which & 4) proxy_silence(s->server[i].link);
}

static void set_path(struct soak_entry *e, enum partition p)
{
	union sigval v = {.sival_int = PARTITION_VALUE(p, 0)};

	e->partitioned = p != PARTITION_NONE;
	if (e->pw->pid > 0) sigqueue(e->pw->pid, SIGUSR1, v);
}

static void lose_path(struct soak *s, const struct soak_fault *f)
{
	int i;

	for (i = 0; i < SOAK_ENTRIES; i++)
		if (f->victim & 1 << i && !s->entry[i].down)
			set_path(&s->entry[i], 1 + f->variant % (PARTITION_MODES - 1));
}

/* The store loses what it was told while it was about to go away. */
static void store_goes(struct soak *s)
{
	pw_store_copy();
	s->key += s->key + 1 < (int)G_N_ELEMENTS(s->key_revoked_us);
	write_conf(s);
	s->key_revoked_us[s->key - 1] = clock_us();
	pw_store.mode = PW_STORE_DOWN;
}

/* The operator and the servers write again. */
static void store_returns(struct soak *s)
{
	pw_store_restore();
	pw_store.mode = PW_STORE_OK;
	pw_conf_write();
	soak_list_all(s, 1);
}

static enum proxy_mode link_mode(const struct soak_fault *f)
{
	return 1 + f->variant % (PROXY_MODES - 1);
}

static void begin(struct soak *s, const struct soak_fault *f)
{
	struct soak_entry *e = &s->entry[f->victim % SOAK_ENTRIES];
	struct soak_server *v = &s->server[f->victim % s->nservers];

	switch (f->kind) {
	case SOAK_TERM: signal_entry(e, SIGTERM); return;
	case SOAK_LEAVE: soak_retire_server(s, f); return;
	case SOAK_KEYS: change_keys(s); return;
	case SOAK_ROUTES: move_route(s); return;
	case SOAK_KILL: signal_entry(e, SIGKILL); return;
	case SOAK_FREEZE: signal_entry(e, SIGSTOP); return;
	case SOAK_CRASH: soak_crash_server(s, f); return;
	case SOAK_STORE: set_store(f->variant); return;
	case SOAK_LAPSE:
		pw_store.mode = PW_STORE_DOWN;
		soak_list_all(s, 0);
		return;
	case SOAK_COMPACT: pw_store_compact(); return;
	case SOAK_SILENT_WATCHES: pw_store.watches_silent = 1; return;
	case SOAK_STORE_LINK: proxy_set(e->store, link_mode(f)); return;
	case SOAK_PEER_LINK: proxy_set(e->peers, link_mode(f)); return;
	case SOAK_SERVER_LINK:
		if (!v->crashed) proxy_set(v->link, link_mode(f));
		return;
	case SOAK_SERVER_MODE: soak_set_server_mode(s, f); return;
	case SOAK_GROW: grow(s, GROWN_ROUTES); return;
	case SOAK_SILENCE: silence(s, 1 + f->variant % 7); return;
	case SOAK_CRASHER: soak_crasher_begin(s); return;
	case SOAK_RESTART: soak_begin_restart(s, f); return;
	case SOAK_FOREIGN: soak_write_foreign(s, f); return;
	case SOAK_SUSPEND: signal_entry(e, SIGSTOP); return;
	case SOAK_NOTICE: soak_notice_begin(s, f); return;
	case SOAK_PATH: lose_path(s, f); return;
	case SOAK_RETURN: store_goes(s); return;
	case SOAK_ENDINGS: soak_endings_begin(s, f); return;
	case SOAK_VERSIONS: soak_release(s); return;
	case SOAK_SEGMENT: soak_segment_begin(s); return;
	case SOAK_RUSH: s->rushing = 1; return;
	case SOAK_REFUSAL: soak_refusal_begin(s, f); return;
	case SOAK_FAULT_KINDS: return;
	}
}

static void restore_store(struct soak *s, enum soak_fault_kind kind)
{
	if (kind == SOAK_STORE || kind == SOAK_LAPSE) pw_store.mode = PW_STORE_OK;
	if (kind == SOAK_LAPSE) s->relist_us = clock_us() + RELIST_US;
	if (kind != SOAK_SILENT_WATCHES) return;
	pw_store.watches_silent = 0;
	pw_store_compact();
}

/* Simulates a machine suspended for longer than the SIGSTOP: the signal moves the entry's
 * clock ahead. */
static void jump_clock(const struct soak_entry *e)
{
	static const int more_ms[] = {1000, 5000, 60000};
	static unsigned n;
	union sigval v = {.sival_int = more_ms[n++ % G_N_ELEMENTS(more_ms)]};

	if (e->pw->pid > 0) sigqueue(e->pw->pid, SIGUSR2, v);
}

static void restore_entry(struct soak_entry *e, enum soak_fault_kind kind)
{
	if (kind == SOAK_STORE_LINK) proxy_set(e->store, PROXY_OK);
	if (kind == SOAK_PEER_LINK) proxy_set(e->peers, PROXY_OK);
	if ((kind == SOAK_FREEZE || kind == SOAK_SUSPEND) && e->frozen) {
		e->frozen = 0;
		if (kind == SOAK_SUSPEND) jump_clock(e);
		pw_entry_kill(e->pw, SIGCONT);
	}
	if (kind == SOAK_PATH && e->partitioned) set_path(e, PARTITION_NONE);
	if (kind == SOAK_KILL && e->down && !e->pw->pid) {
		e->down = 0;
		pw_entry_restart(e->pw);
	}
}

static void restore_server(struct soak_server *v, enum soak_fault_kind kind)
{
	if (v->crashed) return;
	if (kind == SOAK_REFUSAL) v->pw->resume_status = 0;
	if (kind == SOAK_SERVER_LINK) proxy_set(v->link, PROXY_OK);
	if ((kind == SOAK_SERVER_MODE || kind == SOAK_ENDINGS) &&
	    v->notice != SOAK_NOTICE_BACKOFF)
		v->pw->mode = PW_OK;
}

/* Undoes this kind of fault for all its victims, when the last fault of the kind ends. */
static void end(struct soak *s, const struct soak_fault *f)
{
	enum soak_fault_kind kind = f->kind;
	int i;

	restore_store(s, kind);
	if (kind == SOAK_RETURN && f->begun) store_returns(s);
	if (kind == SOAK_GROW) grow(s, 0);
	if (kind == SOAK_CRASHER) soak_crasher_end(s);
	if (kind == SOAK_SEGMENT) soak_segment_end(s);
	if (kind == SOAK_RUSH) s->rushing = 0;
	if (kind == SOAK_RESTART) soak_end_restart(s, f);
	if (kind == SOAK_FOREIGN) soak_list_all(s, 1);
	if (kind == SOAK_NOTICE) soak_notice_end(s);
	for (i = 0; i < SOAK_ENTRIES; i++) restore_entry(&s->entry[i], kind);
	for (i = 0; i < s->nservers; i++) restore_server(&s->server[i], kind);
}

static void restart_ended_entries(struct soak *s)
{
	int i, status;

	for (i = 0; i < SOAK_ENTRIES; i++) {
		struct soak_entry *e = &s->entry[i];

		if (!pw_entry_ended(e->pw, &status)) continue;
		if (e->down) continue; /* killed; started again when the fault ends */
		if (!e->stopping || status) {
			s->crashes++;
			printf("  entry %d ended by itself, status %d\n", i, status);
		}
		e->stopping = 0;
		pw_entry_restart(e->pw);
	}
}

/* The latest end of the active faults of this kind. */
static int64_t last_end(const struct soak *s, enum soak_fault_kind kind)
{
	int64_t last = 0;
	uint32_t i;

	for (i = 0; i < s->faults->len; i++) {
		const struct soak_fault *f = &g_array_index(s->faults, struct soak_fault, i);

		if (f->kind == kind && f->begun && !f->over) last = MAX(last, f->to_us);
	}
	return last;
}

/* A fault lasts until all active ones of its kind end; the checks use the updated to_us. */
static void step_fault(struct soak *s, struct soak_fault *f, int64_t now)
{
	if (!f->begun && now >= f->from_us) {
		f->begun = 1;
		begin(s, f);
	}
	if (!f->begun || f->over || now < f->to_us) return;
	f->to_us = last_end(s, f->kind);
	if (now < f->to_us) return;
	f->over = 1;
	end(s, f);
}

void soak_step_faults(struct soak *s)
{
	int64_t now = clock_us();
	uint32_t i;

	soak_step_servers(s);
	soak_step_notices(s);
	restart_ended_entries(s);
	for (i = 0; i < s->faults->len; i++)
		step_fault(s, &g_array_index(s->faults, struct soak_fault, i), now);
}

void soak_end_faults(struct soak *s)
{
	struct soak_fault f = {0};

	for (f.kind = 0; f.kind < SOAK_FAULT_KINDS; f.kind++) end(s, &f);
}
