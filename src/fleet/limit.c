/*
 * Limits that backend servers name. What a server's own answers say is told to all at once when
 * it changes, and each second to those that callers come to, as a message may be lost; all that
 * is known is told to whoever starts.
 */
#include "limit.h"
#include "clock.h"
#include "entry_cfg.h"
#include "ev.h"
#include "jlog.h"
#include "mesh_topic.h"
#include <errno.h>
#include <math.h>

#define TELL_US 1000000       /* between two messages of what has not changed */
#define OVER_US 10000000      /* for so long they tell that a limit is over, too */
#define TRANSIT_US 500000     /* what another instance tells may be under way for so long */
#define AGO_MAX_US 3600000000 /* what is older is of no use to anybody */
#define ROW_FIELDS 5          /* id, life, requests in 1,000 s, microseconds since: from, to */
#define ANY (-1)              /* instead of the requests: as many as there are */

static struct ev_timer teller;
static GPtrArray *heard; /* servers whose own answers said so since others were told */
static int any_limited;  /* some server has named a limit, here or elsewhere */

static void log_limit(const struct be *b, const char *said_by)
{
	GString *g = jlog_begin("fleet", "backend_limit");
	char text[G_ASCII_DTOSTR_BUF_SIZE];

	jlog_str(g, "backend", b->id);
	jlog_str(g, "service", b->service);
	jlog_str(g, "per_s",
		 b->limit.per_s < 0
			 ? "any"
			 : g_ascii_formatd(text, sizeof text, "%.3f", b->limit.per_s));
	jlog_str(g, "said_by", said_by);
	jlog_end(g);
}

/* 1 when the number in force changed. */
static int take(struct be *b, const struct limit_report *w, const char *said_by)
{
	int was_limited = be_limited(b);

	if (w->per_s >= 0) any_limited = 1;
	if (!limit_update(&b->limit, w)) return 0;
	log_limit(b, said_by);
	if (was_limited == be_limited(b)) return 1;
	b->limited_us = clock_us(); /* or since when it is over */
	b->pace[QUOTA_LIMIT] = (struct quota_pace){0};
	return 1;
}

/* ---- frames ---- */

static int64_t in_1000_s(double per_s)
{
	return per_s < 0 ? ANY : (int64_t)ceil(per_s * 1000);
}

static void pack(msgpack_packer *p, const struct be *b, int64_t now)
{
	mesh_pack_text(p, b->id);
	msgpack_pack_int64(p, b->born_ms);
	msgpack_pack_int64(p, in_1000_s(b->limit.per_s));
	msgpack_pack_int64(p, now - b->limit.from_us);
	msgpack_pack_int64(p, now - b->limit.to_us);
}

/* 0 or -EBADMSG. */
static int take_row(const char *from, const msgpack_object *o)
{
	int64_t now = clock_us(), in_1000, from_ago, to_ago;
	char id[ENTRY_TEXT_MAX + 1];
	struct limit_report w;
	struct be *b;

	if (mesh_text(&o[0], id, sizeof id)) return -EBADMSG;
	in_1000 = mesh_int(&o[2]);
	from_ago = CLAMP(mesh_int(&o[3]), 0, AGO_MAX_US);
	to_ago = CLAMP(mesh_int(&o[4]), 0, from_ago);
	b = be_find(id);
	if (!b || !be_is_life(b, mesh_int(&o[1]))) return 0;
	w.per_s = in_1000 < 0 ? LIMIT_NONE : (double)in_1000 / 1000;
	w.from_us = now - from_ago - TRANSIT_US;
	w.to_us = now - to_ago;
	take(b, &w, from);
	return 0;
}

static int take_frame(const char *from, const msgpack_object_array *a)
{
	uint32_t i;

	for (i = 1; i + ROW_FIELDS <= a->size; i += ROW_FIELDS)
		if (take_row(from, &a->ptr[i])) return -EBADMSG;
	return 0;
}

/* Appends a frame with those of all for which wanted holds; nothing where there is none. */
static void write_rows(GString *out, const GPtrArray *all, int (*wanted)(const struct be *b))
{
	int64_t now = clock_us();
	struct mesh_frame f;
	msgpack_packer *p;
	uint32_t i;
	int n = 0;

	for (i = 0; i < all->len; i++) n += wanted(g_ptr_array_index(all, i));
	if (!n) return;
	p = mesh_frame_begin(&f, MESH_LIMITS, 1 + ROW_FIELDS * n);
	for (i = 0; i < all->len; i++) {
		const struct be *b = g_ptr_array_index(all, i);

		if (wanted(b)) pack(p, b, now);
	}
	mesh_frame_end(&f, out);
}

static void write_limited(GString *out)
{
	if (any_limited) write_rows(out, be_all(), be_limited);
}

/* ---- when ---- */

static void tell_all(const struct be *b)
{
	GString *out = g_string_new(NULL);
	struct mesh_frame f;

	pack(mesh_frame_begin(&f, MESH_LIMITS, 1 + ROW_FIELDS), b, clock_us());
	mesh_frame_end(&f, out);
	mesh_send_all(out);
	g_string_free(out, TRUE);
}

/* An answer came here since the last message, and the limit stands or is over for a short time.
 */
static int is_news(const struct be *b)
{
	return be_limited(b) || (b->limited_us && clock_us() - b->limited_us < OVER_US);
}

static void on_teller(struct ev_timer *t)
{
	GString *out = g_string_new(NULL);
	uint32_t i;

	ev_in(t, TELL_US);
	write_rows(out, heard, is_news);
	if (out->len) mesh_send_serving(out);
	g_string_free(out, TRUE);
	for (i = 0; i < heard->len; i++)
		((struct be *)g_ptr_array_index(heard, i))->limit_heard = 0;
	g_ptr_array_set_size(heard, 0);
}

static void note_heard(struct be *b)
{
	if (b->limit_heard) return;
	b->limit_heard = 1;
	g_ptr_array_add(heard, be_ref(b));
}

void limit_said(struct be *b, double per_s, int64_t sent_us)
{
	struct limit_report w = {per_s < 0 ? LIMIT_NONE : per_s, sent_us, clock_us()};

	note_heard(b);
	if (take(b, &w, "itself")) tell_all(b);
}

static void unref(gpointer b)
{
	be_unref(b);
}

void limit_start(void)
{
	static const struct mesh_topic topic = {MESH_LIMITS, take_frame, write_limited};

	mesh_add_topic(&topic);
	heard = g_ptr_array_new_with_free_func(unref);
	teller.fire = on_teller;
	ev_in(&teller, TELL_US);
}
