#include "claim_shard.h"
#include "jsonw.h"
#include <errno.h>
#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

static const char *const states[] = {"claimed", "done", "lost"};

static void record_free(void *p)
{
	struct claim_record *r = p;

	g_free(r->answer);
	g_free(r->text);
	g_free(r);
}

void claim_shard_init(struct claim_shard *s)
{
	*s = (struct claim_shard){0};
	s->records = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, record_free);
}

void claim_shard_free(struct claim_shard *s)
{
	g_hash_table_unref(s->records);
}

static char *record_text(const struct claim_record *r)
{
	GString *t = g_string_new(NULL);
	char *b64;

	g_string_append_printf(t,
			       "\"%s\":{\"attempt\":\"%s\",\"state\":\"%s\",\"at_ms\":%lld,"
			       "\"body\":\"%016llx\"",
			       r->key, r->attempt, states[r->state], (long long)r->at_ms,
			       (unsigned long long)r->body_hash);
	if (r->state == CLAIM_DONE) {
		b64 = g_base64_encode((const guchar *)r->answer, r->answer_len);
		g_string_append_printf(t, ",\"status\":%d,\"type\":", r->status);
		jsonw_str(t, r->content_type);
		g_string_append_printf(t, ",\"answer\":\"%s\"", b64);
		g_free(b64);
	}
	g_string_append_c(t, '}');
	return g_string_free(t, FALSE);
}

/* Rebuilds the record's text after a change. */
static void record_changed(struct claim_shard *s, struct claim_record *r)
{
	if (r->text) s->bytes -= strlen(r->text) + 1;
	g_free(r->text);
	r->text = record_text(r);
	s->bytes += strlen(r->text) + 1;
	s->dirty = 1;
}

static void put_record(struct claim_shard *s, struct claim_record *r)
{
	g_hash_table_replace(s->records, r->key, r);
	record_changed(s, r);
}

static void remove_record(struct claim_shard *s, struct claim_record *r)
{
	s->bytes -= strlen(r->text) + 1;
	s->dirty = 1;
	g_hash_table_remove(s->records, r->key);
}

static const char *string_field(json_object *o, const char *key)
{
	json_object *v;

	return json_object_object_get_ex(o, key, &v) ? json_object_get_string(v) : "";
}

static int64_t int_field(json_object *o, const char *key)
{
	json_object *v;

	return json_object_object_get_ex(o, key, &v) ? json_object_get_int64(v) : 0;
}

static struct claim_record *read_record(const char *key, json_object *o)
{
	struct claim_record *r = g_new0(struct claim_record, 1);
	const char *state = string_field(o, "state");

	g_strlcpy(r->key, key, sizeof r->key);
	g_strlcpy(r->attempt, string_field(o, "attempt"), sizeof r->attempt);
	g_strlcpy(r->content_type, string_field(o, "type"), sizeof r->content_type);
	r->state = !strcmp(state, "done")   ? CLAIM_DONE
		   : !strcmp(state, "lost") ? CLAIM_LOST
					    : CLAIM_CLAIMED;
	r->body_hash = strtoull(string_field(o, "body"), NULL, 16);
	r->at_ms = int_field(o, "at_ms");
	r->status = (int)int_field(o, "status");
	if (r->state == CLAIM_DONE)
		r->answer = (char *)g_base64_decode(string_field(o, "answer"), &r->answer_len);
	return r;
}

int claim_shard_parse(struct claim_shard *s, const char *text)
{
	json_object *o = json_tokener_parse(text);

	g_hash_table_remove_all(s->records);
	s->bytes = 0;
	if (!o || !json_object_is_type(o, json_type_object)) {
		json_object_put(o);
		return -EINVAL;
	}
	json_object_object_foreach(o, key, v)
	{
		put_record(s, read_record(key, v));
	}
	json_object_put(o);
	s->dirty = 0;
	return 0;
}

char *claim_shard_format(const struct claim_shard *s, gsize *len)
{
	GString *t = g_string_sized_new(s->bytes + 16);
	GHashTableIter it;
	gpointer p;

	g_string_append_c(t, '{');
	g_hash_table_iter_init(&it, s->records);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		if (t->len > 1) g_string_append_c(t, ',');
		g_string_append(t, ((struct claim_record *)p)->text);
	}
	g_string_append_c(t, '}');
	*len = t->len;
	return g_string_free(t, FALSE);
}

void claim_shard_expire(struct claim_shard *s, int64_t now_ms, int64_t keep_ms)
{
	struct claim_record *r;
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, s->records);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		r = p;
		if (now_ms - r->at_ms <= keep_ms) continue;
		s->bytes -= strlen(r->text) + 1;
		s->dirty = 1;
		g_hash_table_iter_remove(&it);
	}
}

/* The result of an attempt to claim a key that has a record. */
static enum claim_result existing_result(const struct claim_record *r,
					 const struct claim_op *op, int64_t now_ms)
{
	if (!strcmp(r->attempt, op->attempt)) return CLAIM_ACQUIRED;
	if (r->body_hash != op->body_hash) return CLAIM_CONFLICT;
	if (r->state == CLAIM_DONE) return CLAIM_ANSWERED;
	if (r->state == CLAIM_LOST) return CLAIM_UNKNOWN;
	return now_ms - r->at_ms < op->ttl_ms ? CLAIM_RUNNING : CLAIM_UNKNOWN;
}

static void acquire(struct claim_shard *s, struct claim_record *r, const struct claim_op *op,
		    int64_t now_ms, struct claim_reply *out)
{
	if (r) {
		out->result = existing_result(r, op, now_ms);
		if (out->result != CLAIM_ANSWERED) return;
		out->status = r->status;
		g_strlcpy(out->content_type, r->content_type, sizeof out->content_type);
		out->answer = g_memdup2(r->answer, r->answer_len + 1);
		out->answer_len = (uint32_t)r->answer_len;
		return;
	}
	out->result = CLAIM_FULL;
	if (s->bytes + 256 > CLAIM_SHARD_BYTES_MAX) return;
	r = g_new0(struct claim_record, 1);
	g_strlcpy(r->key, op->key, sizeof r->key);
	g_strlcpy(r->attempt, op->attempt, sizeof r->attempt);
	r->body_hash = op->body_hash;
	r->at_ms = now_ms;
	put_record(s, r);
	out->result = CLAIM_ACQUIRED;
}

static void record_answer(struct claim_shard *s, struct claim_record *r,
			  const struct claim_op *op)
{
	if (s->bytes + (gsize)op->answer_len * 4 / 3 + 256 > CLAIM_SHARD_BYTES_MAX) {
		r->state = CLAIM_LOST;
		record_changed(s, r);
		return;
	}
	r->state = CLAIM_DONE;
	r->status = op->status;
	g_strlcpy(r->content_type, op->content_type, sizeof r->content_type);
	g_free(r->answer);
	r->answer = g_malloc0(op->answer_len + 1);
	if (op->answer_len) memcpy(r->answer, op->answer, op->answer_len);
	r->answer_len = op->answer_len;
	record_changed(s, r);
}

void claim_shard_apply(struct claim_shard *s, const struct claim_op *op, int64_t now_ms,
		       struct claim_reply *out)
{
	struct claim_record *r = g_hash_table_lookup(s->records, op->key);

	memset(out, 0, sizeof *out);
	if (op->type == CLAIM_OP_ACQUIRE) {
		acquire(s, r, op, now_ms, out);
		return;
	}
	/* Only the attempt that holds the claim may change it. */
	if (!r || strcmp(r->attempt, op->attempt)) {
		out->result = CLAIM_CONFLICT;
		return;
	}
	out->result = CLAIM_ACQUIRED;
	switch (op->type) {
	case CLAIM_OP_ANSWER: record_answer(s, r, op); return;
	case CLAIM_OP_LOST:
		r->state = CLAIM_LOST;
		record_changed(s, r);
		return;
	case CLAIM_OP_RELEASE: remove_record(s, r); return;
	case CLAIM_OP_ACQUIRE: return;
	}
}
