/* Faults of the soak begin and end when their time has come. */
#include "clock.h"
#include "soak.h"
#include <signal.h>
#include <stdio.h>
#include <string.h>

#define RELIST_US 1500000 /* after the store is back, entries that lapsed are, too */
#define GROWN_ROUTES 1500 /* some 0.3 MB: far more than is passed on unasked */

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
	if (s->key + 1 >= (int)G_N_ELEMENTS(s->key_gone_us)) return;
	s->key++;
	write_conf(s);
	s->key_gone_us[s->key - 1] = clock_us();
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

/* Those to the store, between entries or to servers, or several of these kinds. */
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
	case SOAK_LEAVE: soak_leave(s, f); return;
	case SOAK_KEYS: change_keys(s); return;
	case SOAK_ROUTES: move_route(s); return;
	case SOAK_KILL: signal_entry(e, SIGKILL); return;
	case SOAK_FREEZE: signal_entry(e, SIGSTOP); return;
	case SOAK_DIE: soak_crash_server(s, f); return;
	case SOAK_STORE: set_store(f->variant); return;
	case SOAK_LAPSE:
		pw_store.mode = PW_STORE_DOWN;
		soak_list_all(s, 0);
		return;
	case SOAK_FORGET: pw_store_compact(); return;
	case SOAK_DEAF_WATCHES: pw_store.watches_silent = 1; return;
	case SOAK_STORE_LINK: proxy_set(e->store, link_mode(f)); return;
	case SOAK_PEER_LINK: proxy_set(e->peers, link_mode(f)); return;
	case SOAK_SERVER_LINK:
		if (!v->dead) proxy_set(v->link, link_mode(f));
		return;
	case SOAK_SERVER_MODE: soak_set_server_mode(s, f); return;
	case SOAK_GROW: grow(s, GROWN_ROUTES); return;
	case SOAK_SILENCE: silence(s, 1 + f->variant % 7); return;
	case SOAK_CRASHER: soak_crasher_begin(s); return;
	case SOAK_REBORN: soak_end_life(s, f); return;
	case SOAK_FOREIGN: soak_write_foreign(s, f); return;
	case SOAK_SUSPEND: signal_entry(e, SIGSTOP); return;
	case SOAK_NOTICE: soak_notice_begin(s, f); return;
	case SOAK_FAULT_KINDS: return;
	}
}

static void mend_store(struct soak *s, enum soak_fault_kind kind)
{
	if (kind == SOAK_STORE || kind == SOAK_LAPSE) pw_store.mode = PW_STORE_OK;
	if (kind == SOAK_LAPSE) s->relist_us = clock_us() + RELIST_US;
	if (kind != SOAK_DEAF_WATCHES) return;
	pw_store.watches_silent = 0;
	pw_store_compact();
}

/* Its machine was, for longer than it stood still here. */
static void suspended(const struct soak_entry *e)
{
	static const int more_ms[] = {1000, 5000, 60000};
	static unsigned n;
	union sigval v = {.sival_int = more_ms[n++ % G_N_ELEMENTS(more_ms)]};

	if (e->pw->pid > 0) sigqueue(e->pw->pid, SIGUSR2, v);
}

static void mend_entry(struct soak_entry *e, enum soak_fault_kind kind)
{
	if (kind == SOAK_STORE_LINK) proxy_set(e->store, PROXY_OK);
	if (kind == SOAK_PEER_LINK) proxy_set(e->peers, PROXY_OK);
	if ((kind == SOAK_FREEZE || kind == SOAK_SUSPEND) && e->frozen) {
		e->frozen = 0;
		if (kind == SOAK_SUSPEND) suspended(e);
		pw_entry_kill(e->pw, SIGCONT);
	}
	if (kind == SOAK_KILL && e->down && !e->pw->pid) {
		e->down = 0;
		pw_entry_restart(e->pw);
	}
}

static void mend_server(struct soak_server *v, enum soak_fault_kind kind)
{
	if (v->dead) return;
	if (kind == SOAK_SERVER_LINK) proxy_set(v->link, PROXY_OK);
	if (kind == SOAK_SERVER_MODE && v->notice != SOAK_SAYS_REST) v->pw->mode = PW_OK;
}

/* Puts right what this kind of fault changed, of all its victims: with the last of them. */
static void end(struct soak *s, const struct soak_fault *f)
{
	enum soak_fault_kind kind = f->kind;
	int i;

	mend_store(s, kind);
	if (kind == SOAK_GROW) grow(s, 0);
	if (kind == SOAK_CRASHER) soak_crasher_end(s);
	if (kind == SOAK_REBORN) soak_begin_life(s, f);
	if (kind == SOAK_FOREIGN) soak_list_all(s, 1);
	if (kind == SOAK_NOTICE) soak_notice_end(s);
	for (i = 0; i < SOAK_ENTRIES; i++) mend_entry(&s->entry[i], kind);
	for (i = 0; i < s->nservers; i++) mend_server(&s->server[i], kind);
}

static void turn_entries(struct soak *s)
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

/* When the last one of those under way of this kind ends. */
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

/* It lasts until the others of its kind end, too: the checks go by its times. */
static void turn_fault(struct soak *s, struct soak_fault *f, int64_t now)
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

void soak_turn_faults(struct soak *s)
{
	int64_t now = clock_us();
	uint32_t i;

	soak_turn_servers(s);
	soak_turn_notices(s);
	turn_entries(s);
	for (i = 0; i < s->faults->len; i++)
		turn_fault(s, &g_array_index(s->faults, struct soak_fault, i), now);
}

void soak_mend(struct soak *s)
{
	struct soak_fault f = {0};

	for (f.kind = 0; f.kind < SOAK_FAULT_KINDS; f.kind++) end(s, &f);
}
