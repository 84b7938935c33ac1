/* The table of backend servers, by id and by service. */
#include "be.h"
#include "be_incarnation.h"
#include "be_ring.h"
#include "clock.h"
#include "hostport.h"
#include "jlog.h"
#include <errno.h>
#include <string.h>

/* How long a server suspected to leave gets no new work. One that really leaves is gone by
 * then. With less, it would get new work before it stops: nobody probes it once its streams
 * have moved. */
#define SUSPECT_US 3000000
/* A server listed later than this after the first entry is new or has returned, and may be
 * cold; those listed earlier were in use before this instance started. */
#define INITIAL_LIST_US 1000000
#define FORGET_US 30000000 /* a gone server is kept, so that late messages don't revive it */

void (*be_on_leaving)(struct be *b);
void (*be_on_incarnation_end)(struct be *b);
void (*be_on_new)(struct be *b);
uint32_t (*be_ro_role)(const struct be *b);
int (*be_is_instance)(const struct sockaddr_in *at);

static GHashTable *by_id, *by_service;
static GPtrArray *all;
static int any_lapsed;          /* some entry may still be lapsed */
static int64_t first_listed_us; /* when the first entry was added; 0: none yet */

static void init(void)
{
	if (all) return;
	by_id = g_hash_table_new(g_str_hash, g_str_equal);
	by_service = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	all = g_ptr_array_new();
}

struct be *be_ref(struct be *b)
{
	b->refs++;
	return b;
}

void be_unref(struct be *b)
{
	if (!b || --b->refs) return;
	g_free(b->id);
	g_free(b->service);
	g_free(b->dc);
	g_free(b->address);
	g_free(b->version);
	g_free(b);
}

struct be *be_find(const char *id)
{
	init();
	return g_hash_table_lookup(by_id, id);
}

const GPtrArray *be_of_service(const char *service)
{
	init();
	return g_hash_table_lookup(by_service, service);
}

const GPtrArray *be_all(void)
{
	init();
	return all;
}

static void forget(struct be *b)
{
	g_hash_table_remove(by_id, b->id);
	g_ptr_array_remove_fast(all, b);
	g_ptr_array_remove_fast(g_hash_table_lookup(by_service, b->service), b);
	be_ring_remove(b);
	be_unref(b);
}

static void forget_old(int64_t now)
{
	uint32_t i;

	for (i = all->len; i-- > 0;) {
		struct be *b = g_ptr_array_index(all, i);

		if (b->state == BE_GONE && b->refs == 1 && now - b->state_since_us > FORGET_US)
			forget(b);
	}
}

static void add_to_service(struct be *b)
{
	GPtrArray *list = g_hash_table_lookup(by_service, b->service);

	if (!list) {
		list = g_ptr_array_new();
		g_hash_table_insert(by_service, g_strdup(b->service), list);
	}
	g_ptr_array_add(list, b);
}

static struct be *add(const struct be_info *i, const struct sockaddr_in *sa)
{
	struct be *b = g_new0(struct be, 1);

	b->refs = 1;
	b->id = g_strdup(i->id);
	b->service = g_strdup(i->service);
	b->dc = g_strdup(i->dc);
	b->address = g_strdup(i->address);
	b->region = be_region_of(i->dc);
	b->version = g_strdup("");
	be_note_version(b, i->version);
	b->sa = *sa;
	b->room.own = BE_ROOM_UNKNOWN;
	b->state_since_us = clock_us();
	b->drained_us = be_dc_is_drained(b->dc) ? b->state_since_us : 0;
	if (be_version_is_blocked(b->service, b->version)) b->blocked_us = b->state_since_us;
	if (be_ro_role) b->ro_role = be_ro_role(b);
	if (!first_listed_us) first_listed_us = b->state_since_us;
	if (b->state_since_us - first_listed_us > INITIAL_LIST_US)
		b->available_us = b->state_since_us;
	g_hash_table_insert(by_id, b->id, b);
	g_ptr_array_add(all, b);
	add_to_service(b);
	be_add_dc(b->dc);
	be_ring_add(b);
	return b;
}

static void set_state(struct be *b, enum be_state s, const char *source)
{
	static const char *const names[] = {"ready", "leaving", "gone"};
	GString *g;
	int starts_leaving = !be_is_leaving(b) && s != BE_READY;

	b->lapsed_us = 0;
	if (b->state == s) return;
	b->state = s;
	b->state_since_us = clock_us();
	g = jlog_begin("fleet", "backend_state");
	jlog_str(g, "backend", b->id);
	jlog_str(g, "service", b->service);
	jlog_str(g, "state", names[s]);
	jlog_str(g, "said_by", source);
	jlog_end(g);
	if (starts_leaving && be_on_leaving) be_on_leaving(b);
}

int be_is_incarnation(const struct be *b, int64_t incarnation_ms)
{
	return !incarnation_ms || !b->incarnation_ms || incarnation_ms == b->incarnation_ms;
}

void be_end_incarnation(struct be *b, const char *source)
{
	GString *g;

	be_ref(b);
	be_incarnation_end(b->id, b->incarnation_ms);
	forget(b);
	g = jlog_begin("fleet", "backend_life_over");
	jlog_str(g, "backend", b->id);
	jlog_int(g, "born_ms", b->incarnation_ms);
	jlog_str(g, "said_by", source);
	jlog_end(g);
	if (be_on_incarnation_end) be_on_incarnation_end(b);
	b->state = BE_GONE;
	be_unref(b);
}

/* The server of the incarnation that the entry names, added if it is new; NULL if that
 * incarnation has ended. */
static struct be *incarnation_of(const struct be_info *i, const struct sockaddr_in *sa)
{
	struct be *b = be_find(i->id);

	if (be_incarnation_ended(i->id, i->incarnation_ms)) return NULL;
	if (b && !be_is_incarnation(b, i->incarnation_ms)) {
		if (i->incarnation_ms < b->incarnation_ms) return NULL;
		be_end_incarnation(b, "a newer entry");
		b = NULL;
	}
	if (b) return b;
	b = add(i, sa);
	b->incarnation_ms = i->incarnation_ms;
	if (be_on_new) be_on_new(b);
	return b;
}

int be_update(const struct be_info *i)
{
	struct sockaddr_in sa;
	struct be *b;
	int64_t now = clock_us();

	init();
	if (hostport_parse(i->address, &sa)) return -EINVAL;
	if (be_is_instance && be_is_instance(&sa)) return -EINVAL;
	forget_old(now);
	b = incarnation_of(i, &sa);
	if (!b) return 0;
	if (b->unreadable || b->state == BE_GONE) b->available_us = now;
	b->slots = i->slots;
	be_note_version(b, i->version);
	if (i->incarnation_ms) b->incarnation_ms = i->incarnation_ms;
	b->unreadable = 0;
	b->lapsed_us = 0;
	if (i->cold_us) be_set_cold(b, i->cold_us);
	if (i->leaving) b->leaving_reported = 1; /* also if a copy of the list says otherwise */
	if (i->leaving)
		set_state(b, BE_LEAVING, "platform");
	else if (b->state == BE_GONE) /* lapsed while the store was down, and is listed again */
		set_state(b, b->leaving_reported ? BE_LEAVING : BE_READY, "platform");
	if (be_incarnation_is_leaving(b->id, b->incarnation_ms))
		be_set_leaving(b, "a peer, earlier");
	return 0;
}

void be_set_leaving(struct be *b, const char *source)
{
	b->leaving_reported = 1;
	if (b->state == BE_READY) set_state(b, BE_LEAVING, source);
}

void be_apply_leaving(const char *id, int64_t incarnation_ms, const char *source)
{
	struct be *b = be_find(id);

	if (b && be_is_incarnation(b, incarnation_ms))
		be_set_leaving(b, source);
	else if (!b || incarnation_ms > b->incarnation_ms)
		be_incarnation_set_leaving(id, incarnation_ms);
}

void be_set_unreadable(const char *id)
{
	struct be *b = be_find(id);

	if (b) b->unreadable = 1;
}

void be_set_lapsed(const char *id)
{
	struct be *b = be_find(id);
	GString *g;

	if (!b || b->lapsed_us || b->state == BE_GONE) return;
	any_lapsed = 1;
	b->lapsed_us = clock_us();
	g = jlog_begin("fleet", "backend_lapsed");
	jlog_str(g, "backend", b->id);
	jlog_str(g, "service", b->service);
	jlog_end(g);
}

void be_check_lapsed(void)
{
	int64_t now = clock_us();
	uint32_t i;

	if (!any_lapsed) return;
	any_lapsed = 0;
	for (i = 0; i < all->len; i++) {
		struct be *b = g_ptr_array_index(all, i);

		if (b->lapsed_us && now - b->lapsed_us > be_last_resort_us)
			set_state(b, BE_GONE, "its entry did not come back");
		any_lapsed |= b->lapsed_us != 0;
	}
}

void be_apply_suspect(const char *id, int64_t incarnation_ms, const char *source)
{
	struct be *b = be_find(id);

	if (b && be_is_incarnation(b, incarnation_ms)) be_set_suspect(b, source);
}

void be_set_suspect(struct be *b, const char *source)
{
	int64_t now = clock_us();
	GString *g;

	if (b->state != BE_READY) return;
	if (be_is_leaving(b)) {
		b->suspect_until_us = now + SUSPECT_US;
		return;
	}
	b->suspect_us = now;
	b->suspect_until_us = now + SUSPECT_US;
	g = jlog_begin("fleet", "backend_suspect");
	jlog_str(g, "backend", b->id);
	jlog_str(g, "service", b->service);
	jlog_str(g, "said_by", source);
	jlog_end(g);
	if (be_on_leaving) be_on_leaving(b);
}

int be_is_leaving(const struct be *b)
{
	if (b->state != BE_READY || b->drained_us || b->blocked_us) return 1;
	return b->suspect_until_us > clock_us();
}

int64_t be_leaving_for_us(const struct be *b)
{
	int64_t since_us = b->state == BE_READY ? b->suspect_us : b->state_since_us;

	if (since_us - b->suspect_us < SUSPECT_US) since_us = b->suspect_us;
	if (b->state == BE_READY && b->drained_us) since_us = b->drained_us;
	if (b->state == BE_READY && b->blocked_us) since_us = b->blocked_us;
	return clock_us() - since_us;
}

void be_set_cold(struct be *b, int64_t for_us)
{
	b->cold_until_us = clock_us() + for_us;
}

int be_is_limited(const struct be *b)
{
	return b->limit.report.to_us && b->limit.report.per_s >= 0;
}

int be_is_brittle(const struct be *b)
{
	return b->brittle.report.to_us && b->brittle.report.per_s >= 0;
}

void be_set_gone(const char *id)
{
	struct be *b = be_find(id);

	if (b) set_state(b, BE_GONE, "platform");
}
