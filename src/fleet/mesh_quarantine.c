/* Exchange of crashes, runs and verdicts for requests, and segments of prompts, under which
 * servers crash. */
#include "mesh_quarantine.h"
#include "clock.h"
#include "mesh_impl.h"
#include <errno.h>
#include <string.h>

#define RUNS_MAX 512 /* of one server: more than it runs at once */
/* Fields of a frame about a crash: those before the runs, and those of each run. */
#define CRASH_FIELDS 4
#define REQUEST_FIELDS 2
#define SEGMENT_FIELDS 3
#define AGE_MAX_MS 3600000 /* reports are of no use after that */

static int64_t read_age_us(const msgpack_object *o)
{
	return CLAMP(mesh_int(o), 0, AGE_MAX_MS) * 1000;
}

static uint32_t read_count(const msgpack_object *o)
{
	return (uint32_t)CLAMP(mesh_int(o), 0, UINT32_MAX);
}

const char *mesh_self_name(void)
{
	return mesh_cfg()->instance;
}

/* ---- crashes ---- */

static int count_segments(const struct quarantine_run *run, int n)
{
	int i, sum = 0;

	for (i = 0; i < n; i++) sum += fp_is_segment(&run[i].fp);
	return sum;
}

static void pack_crash(msgpack_packer *p, const struct quarantine_crash *e)
{
	mesh_pack_text(p, e->server);
	msgpack_pack_int64(p, e->incarnation_ms);
	msgpack_pack_int64(p, e->ago_us / 1000);
}

static void pack_run(msgpack_packer *p, const struct quarantine_run *r)
{
	mesh_pack_fp(p, &r->fp);
	msgpack_pack_int64(p, r->ran_us / 1000);
	if (fp_is_segment(&r->fp)) mesh_pack_fp(p, &r->request);
}

/* One frame with the requests, or with the segments. */
static void write_crash_frame(GString *out, const struct quarantine_crash *e,
			      const struct quarantine_run *run, int segments)
{
	int i, all = count_segments(run, e->n), n = MIN(segments ? all : e->n - all, RUNS_MAX);
	struct mesh_frame f;
	msgpack_packer *p = mesh_frame_begin(
		&f, segments ? MESH_CRASH_SEGMENTS : MESH_CRASH,
		CRASH_FIELDS + n * (segments ? SEGMENT_FIELDS : REQUEST_FIELDS));

	pack_crash(p, e);
	for (i = 0; n > 0; i++) {
		if (fp_is_segment(&run[i].fp) != segments) continue;
		pack_run(p, &run[i]);
		n--;
	}
	mesh_frame_end(&f, out);
}

void mesh_write_crash(GString *out, const struct quarantine_crash *e,
		      const struct quarantine_run *run)
{
	write_crash_frame(out, e, run, 0);
	if (count_segments(run, e->n)) write_crash_frame(out, e, run, 1);
}

static void send_serving(GString *out)
{
	mesh_send_serving(out);
	g_string_free(out, TRUE);
}

void mesh_send_crash(const struct quarantine_crash *e, const struct quarantine_run *run)
{
	GString *out = g_string_new(NULL);

	mesh_write_crash(out, e, run);
	send_serving(out);
}

static int read_request_run(const msgpack_object *o, struct quarantine_run *r)
{
	r->ran_us = read_age_us(&o[1]);
	return mesh_fp(&o[0], &r->fp) || fp_is_segment(&r->fp) ? -EBADMSG : 0;
}

static int read_segment_run(const msgpack_object *o, struct quarantine_run *r)
{
	r->ran_us = read_age_us(&o[1]);
	if (mesh_fp(&o[0], &r->fp) || mesh_fp(&o[2], &r->request)) return -EBADMSG;
	return fp_is_segment(&r->fp) ? 0 : -EBADMSG;
}

static int read_runs(const msgpack_object_array *a, struct quarantine_run *run, int n,
		     int segments)
{
	int i, rc = 0;

	for (i = 0; i < n && !rc; i++)
		rc = segments ? read_segment_run(&a->ptr[CRASH_FIELDS + i * SEGMENT_FIELDS],
						 &run[i])
			      : read_request_run(&a->ptr[CRASH_FIELDS + i * REQUEST_FIELDS],
						 &run[i]);
	return rc;
}

static int handle_crash(const struct member *m, const msgpack_object_array *a, int segments)
{
	struct quarantine_crash e;
	struct quarantine_run *run;
	int rc;

	if (a->size < CRASH_FIELDS || mesh_text(&a->ptr[1], e.server, sizeof e.server))
		return -EBADMSG;
	e.incarnation_ms = mesh_int(&a->ptr[2]);
	e.ago_us = read_age_us(&a->ptr[3]);
	e.n = (int)(a->size - CRASH_FIELDS) / (segments ? SEGMENT_FIELDS : REQUEST_FIELDS);
	e.n = MIN(e.n, RUNS_MAX);
	run = g_new(struct quarantine_run, MAX(e.n, 1));
	rc = read_runs(a, run, e.n, segments);
	if (!rc) quarantine_recv_crash(m->hb.name, &e, run);
	g_free(run);
	return rc;
}

/* ---- runs that succeeded or are in flight ---- */

static void write_run(GString *out, enum mesh_type type, const struct fp *fp, int64_t value)
{
	struct mesh_frame f;
	msgpack_packer *p = mesh_frame_begin(&f, type, 3);

	mesh_pack_fp(p, fp);
	msgpack_pack_int64(p, value);
	mesh_frame_end(&f, out);
}

void mesh_write_success(GString *out, const struct fp *fp, int64_t ago_us)
{
	write_run(out, MESH_SUCCEEDED, fp, ago_us / 1000);
}

void mesh_write_in_flight(GString *out, const struct fp *fp, uint32_t n)
{
	write_run(out, MESH_IN_FLIGHT, fp, n);
}

void mesh_send_success(const struct fp *fp, int64_t ago_us)
{
	GString *out = g_string_new(NULL);

	mesh_write_success(out, fp, ago_us);
	send_serving(out);
}

void mesh_send_in_flight(const struct fp *fp, uint32_t n)
{
	GString *out = g_string_new(NULL);

	mesh_write_in_flight(out, fp, n);
	send_serving(out);
}

static int handle_run(const struct member *m, const msgpack_object_array *a)
{
	struct fp fp;

	if (a->size < 3 || mesh_fp(&a->ptr[1], &fp)) return -EBADMSG;
	if (mesh_int(&a->ptr[0]) == MESH_SUCCEEDED)
		quarantine_recv_success(&fp, read_age_us(&a->ptr[2]));
	else
		quarantine_recv_in_flight(m->hb.name, &fp, read_count(&a->ptr[2]));
	return 0;
}

/* ---- verdicts ---- */

#define VERDICT_FIELDS 4

static void pack_verdict(const struct quar_suspect *s, void *arg)
{
	msgpack_packer *p = arg;

	mesh_pack_fp(p, &s->fp);
	msgpack_pack_uint32(p, s->round);
	msgpack_pack_uint32(p, s->cleared);
	msgpack_pack_int64(p, MAX(clock_us() - s->quarantined_us, 0) / 1000);
}

static void count_verdict(const struct quar_suspect *s, void *n)
{
	(void)s;
	(*(int *)n)++;
}

void mesh_send_verdict(const struct quar_suspect *s)
{
	GString *out = g_string_new(NULL);
	struct mesh_frame f;
	msgpack_packer *p = mesh_frame_begin(&f, MESH_VERDICTS, 2 + VERDICT_FIELDS);

	msgpack_pack_int(p, 0);
	pack_verdict(s, p);
	mesh_frame_end(&f, out);
	mesh_send_all(out);
	g_string_free(out, TRUE);
}

void mesh_write_verdicts(GString *out)
{
	struct mesh_frame f;
	msgpack_packer *p;
	int n = 0;

	quarantine_each_verdict(count_verdict, &n);
	p = mesh_frame_begin(&f, MESH_VERDICTS, 2 + VERDICT_FIELDS * n);
	msgpack_pack_int(p, quarantine_ready() ? MESH_VERDICTS_SYNCED : MESH_VERDICTS_ALL);
	quarantine_each_verdict(pack_verdict, p);
	mesh_frame_end(&f, out);
}

static int handle_verdicts(const struct member *m, const msgpack_object_array *a)
{
	int64_t all = a->size > 1 ? mesh_int(&a->ptr[1]) : 0;
	struct fp fp;
	uint32_t k;

	for (k = 2; k + VERDICT_FIELDS <= a->size; k += VERDICT_FIELDS) {
		if (mesh_fp(&a->ptr[k], &fp)) return -EBADMSG;
		quarantine_recv_verdict(m->hb.name, &fp, read_count(&a->ptr[k + 1]),
					read_count(&a->ptr[k + 2]),
					read_age_us(&a->ptr[k + 3]));
	}
	if (all) quarantine_recv_done(all == MESH_VERDICTS_SYNCED);
	return 0;
}

int mesh_handle_quarantine(const struct member *m, const msgpack_object_array *a)
{
	switch ((enum mesh_type)mesh_int(&a->ptr[0])) {
	case MESH_CRASH: return handle_crash(m, a, 0);
	case MESH_CRASH_SEGMENTS: return handle_crash(m, a, 1);
	case MESH_SUCCEEDED:
	case MESH_IN_FLIGHT: return handle_run(m, a);
	case MESH_VERDICTS: return handle_verdicts(m, a);
	default: return 0;
	}
}

void mesh_sync_verdicts(struct member *m)
{
	GString *out;

	if (m->hb.verdicts == quarantine_digest()) return;
	out = g_string_new(NULL);
	mesh_write_verdicts(out);
	mesh_send(m, out);
	g_string_free(out, TRUE);
}
