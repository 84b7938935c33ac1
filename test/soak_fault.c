/* Faults of the soak: drawn from the seed in bursts with calm between them. */
#include "clock.h"
#include "soak.h"
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CYCLE_US 7000000 /* a burst, and calm long enough for what must hold in calm times */
#define BURST_US 1500000 /* within it the faults of a burst begin */
#define LONGEST_US 2500000
#define SHORTEST_US 200000
#define LONG_IN 8       /* one fault in so many outlasts what beliefs may be old: 5 s */
#define LONG_US 6000000 /* and more: this, and up to the longest besides */
#define BURST_MOST 6
#define RELIST_US 1500000 /* after the store is back, entries that lapsed are, too */
#define DRAIN_US 2200000  /* a leaving server serves on for so long */

static const char *const names[SOAK_FAULT_KINDS] = {
	"planned stop",         "engine leaves",  "keys change",
	"route moves",          "kill",           "freeze",
	"server dies",          "store",          "store, and entries lapse",
	"store forgets",        "deaf watches",   "link to the store",
	"link between entries", "link to server", "server misbehaves"};

const char *soak_fault_name(enum soak_fault_kind k)
{
	return names[k];
}

static void draw_one(struct soak *s, int64_t burst_us, int only_planned)
{
	struct soak_fault f = {0};
	int kinds = only_planned ? SOAK_FIRST_UNPLANNED : SOAK_FAULT_KINDS;

	f.kind = g_rand_int_range(s->rand, 0, kinds);
	f.from_us = burst_us + g_rand_int_range(s->rand, 0, BURST_US);
	f.to_us = f.from_us + g_rand_int_range(s->rand, SHORTEST_US, LONGEST_US);
	if (!g_rand_int_range(s->rand, 0, LONG_IN)) f.to_us += LONG_US;
	f.victim = g_rand_int_range(s->rand, 0, 1 << 16);
	f.variant = g_rand_int_range(s->rand, 0, 1 << 16);
	g_array_append_val(s->faults, f);
}

void soak_draw_faults(struct soak *s, int seconds)
{
	int64_t at;
	int i, n, only_planned;

	s->faults = g_array_new(FALSE, TRUE, sizeof(struct soak_fault));
	for (at = 1000000; at + CYCLE_US / 2 < seconds * 1000000LL; at += CYCLE_US) {
		n = g_rand_int_range(s->rand, 1, BURST_MOST + 1);
		only_planned = g_rand_boolean(s->rand);
		for (i = 0; i < n; i++) draw_one(s, s->began_us + at, only_planned);
	}
}

struct soak_server *soak_add_server(struct soak *s, const char *service, int engine)
{
	struct soak_server *v = &s->server[s->nservers];
	struct sockaddr_in at, to;

	memset(v, 0, sizeof *v);
	v->pw = pw_server_new(service, engine);
	v->pw->events = SOAK_EVENTS;
	v->pw->event_ms = 15;
	pw_address_of(pw_server_ip(), atoi(strchr(v->pw->address, ':') + 1), &to);
	pw_address_of(pw_ip(150), PW_SERVER + s->nservers, &at);
	v->link = proxy_new(&at, &to);
	g_snprintf(v->pw->address, sizeof v->pw->address, "%s:%d", pw_ip(150),
		   PW_SERVER + s->nservers);
	pw_server_list(v->pw, "ready");
	s->nservers++;
	return v;
}

/* A server that is neither dead nor leaving; NULL when it is the last of its service. */
static struct soak_server *spare(struct soak *s, int victim, int engine)
{
	struct soak_server *found = NULL;
	int i, n = 0;

	for (i = 0; i < s->nservers; i++) {
		struct soak_server *v = &s->server[(i + victim) % s->nservers];

		if (v->dead || v->leaving || (engine >= 0 && v->pw->engine != engine)) continue;
		if (!strcmp(v->pw->service, "app2")) continue;
		if (!found) found = v;
		n += !strcmp(v->pw->service, found->pw->service);
	}
	return n > 1 ? found : NULL;
}

static void replace(struct soak *s, const struct soak_server *v)
{
	if (s->nservers < SOAK_SERVERS) soak_add_server(s, v->pw->service, v->pw->engine);
}

static void die(struct soak_server *v)
{
	v->dead = 1;
	pw_server_die(v->pw);
	proxy_close(v->link);
}

static void leave(struct soak *s, struct soak_fault *f)
{
	struct soak_server *v = spare(s, f->victim, 1);

	if (!v) return;
	v->leaving = 1;
	v->pw->leaving_us = clock_us();
	pw_server_list(v->pw, "draining");
	v->unlist_us = clock_us() + DRAIN_US;
	v->die_us = v->unlist_us + DRAIN_US / 4;
	replace(s, v);
}

static void crash_server(struct soak *s, struct soak_fault *f)
{
	struct soak_server *v = spare(s, f->victim, -1);

	if (!v) return;
	die(v);
	v->unlist_us = f->to_us;
	replace(s, v);
}

static void write_conf(struct soak *s)
{
	static char keys[64];

	g_snprintf(keys, sizeof keys, "[\"k1\",\"r%d\"]", s->key);
	pw_conf.keys = keys;
	pw_conf.version += 1 + (int)(s->key % 3);
	pw_conf_write();
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
	s->safe_before = pw_conf.safe_service;
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

/* All entries of servers that live, at once: they lapse together, and come back together. */
static void list_all(struct soak *s, int listed)
{
	int i;

	for (i = 0; i < s->nservers; i++) {
		struct soak_server *v = &s->server[i];

		if (v->dead || v->leaving) continue;
		if (listed)
			pw_server_list(v->pw, "ready");
		else
			pw_server_unlist(v->pw);
	}
}

static void set_server_mode(struct soak *s, const struct soak_fault *f)
{
	static const enum pw_mode calls[] = {
		PW_FULL,  PW_HANG,  PW_RESET,   PW_WRONG_ID,    PW_UNSIGNED, PW_FALSE_503,
		PW_ERROR, PW_EXTRA, PW_GARBAGE, PW_UNTIL_CLOSE, PW_CUT_CLOSE};
	static const enum pw_mode streams[] = {PW_FULL, PW_HANG, PW_BREAK, PW_SILENT};
	struct soak_server *v = spare(s, f->victim, -1);

	if (!v) return;
	v->pw->break_after = 30;
	v->pw->mode = v->pw->engine ? streams[f->variant % G_N_ELEMENTS(streams)]
				    : calls[f->variant % G_N_ELEMENTS(calls)];
}

static void kill_entry(struct soak_entry *e, int sig)
{
	if (e->down || e->stopping || e->frozen) return;
	if (sig == SIGKILL) e->down = 1;
	if (sig == SIGTERM) e->stopping = 1;
	if (sig == SIGSTOP) e->frozen = 1;
	pw_entry_kill(e->pw, sig);
}

static enum proxy_mode link_mode(const struct soak_fault *f)
{
	return 1 + f->variant % (PROXY_MODES - 1);
}

static void begin(struct soak *s, struct soak_fault *f)
{
	struct soak_entry *e = &s->entry[f->victim % SOAK_ENTRIES];
	struct soak_server *v = &s->server[f->victim % s->nservers];

	switch (f->kind) {
	case SOAK_TERM: kill_entry(e, SIGTERM); return;
	case SOAK_LEAVE: leave(s, f); return;
	case SOAK_KEYS: change_keys(s); return;
	case SOAK_ROUTES: move_route(s); return;
	case SOAK_KILL: kill_entry(e, SIGKILL); return;
	case SOAK_FREEZE: kill_entry(e, SIGSTOP); return;
	case SOAK_DIE: crash_server(s, f); return;
	case SOAK_STORE: set_store(f->variant); return;
	case SOAK_LAPSE:
		pw_store.mode = PW_STORE_DOWN;
		list_all(s, 0);
		return;
	case SOAK_FORGET: pw_store_compact(); return;
	case SOAK_DEAF_WATCHES: pw_store.watches_silent = 1; return;
	case SOAK_STORE_LINK: proxy_set(e->store, link_mode(f)); return;
	case SOAK_PEER_LINK: proxy_set(e->peers, link_mode(f)); return;
	case SOAK_SERVER_LINK:
		if (!v->dead) proxy_set(v->link, link_mode(f));
		return;
	case SOAK_SERVER_MODE: set_server_mode(s, f); return;
	case SOAK_FAULT_KINDS: return;
	}
}

/* Puts right what this kind of fault changed, of all its victims: with the last of them. */
static void end(struct soak *s, enum soak_fault_kind kind)
{
	int i;

	if (kind == SOAK_STORE || kind == SOAK_LAPSE) pw_store.mode = PW_STORE_OK;
	if (kind == SOAK_LAPSE) s->relist_us = clock_us() + RELIST_US;
	if (kind == SOAK_DEAF_WATCHES) {
		pw_store.watches_silent = 0;
		pw_store_compact();
	}
	for (i = 0; i < SOAK_ENTRIES; i++) {
		struct soak_entry *e = &s->entry[i];

		if (kind == SOAK_STORE_LINK) proxy_set(e->store, PROXY_OK);
		if (kind == SOAK_PEER_LINK) proxy_set(e->peers, PROXY_OK);
		if (kind == SOAK_FREEZE && e->frozen) {
			e->frozen = 0;
			pw_entry_kill(e->pw, SIGCONT);
		}
		if (kind == SOAK_KILL && e->down && !e->pw->pid) {
			e->down = 0;
			pw_entry_again(e->pw);
		}
	}
	for (i = 0; i < s->nservers; i++) {
		if (s->server[i].dead) continue;
		if (kind == SOAK_SERVER_LINK) proxy_set(s->server[i].link, PROXY_OK);
		if (kind == SOAK_SERVER_MODE) s->server[i].pw->mode = PW_OK;
	}
}

static void turn_servers(struct soak *s)
{
	int64_t now = clock_us();
	int i;

	if (s->relist_us && now >= s->relist_us) {
		s->relist_us = 0;
		list_all(s, 1);
	}

	for (i = 0; i < s->nservers; i++) {
		struct soak_server *v = &s->server[i];

		if (v->unlist_us && now >= v->unlist_us) {
			v->unlist_us = 0;
			pw_server_unlist(v->pw);
		}
		if (v->die_us && now >= v->die_us) {
			v->die_us = 0;
			die(v);
		}
	}
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
		pw_entry_again(e->pw);
	}
}

static int under_way(const struct soak *s, enum soak_fault_kind kind)
{
	uint32_t i;

	for (i = 0; i < s->faults->len; i++) {
		const struct soak_fault *f = &g_array_index(s->faults, struct soak_fault, i);

		if (f->kind == kind && f->begun && !f->over) return 1;
	}
	return 0;
}

void soak_turn_faults(struct soak *s)
{
	int64_t now = clock_us();
	uint32_t i;

	turn_servers(s);
	turn_entries(s);
	for (i = 0; i < s->faults->len; i++) {
		struct soak_fault *f = &g_array_index(s->faults, struct soak_fault, i);

		if (!f->begun && now >= f->from_us) {
			f->begun = 1;
			begin(s, f);
		}
		if (f->begun && !f->over && now >= f->to_us) {
			f->over = 1;
			if (!under_way(s, f->kind)) end(s, f->kind);
		}
	}
}

void soak_mend(struct soak *s)
{
	enum soak_fault_kind k;

	for (k = 0; k < SOAK_FAULT_KINDS; k++) end(s, k);
}
