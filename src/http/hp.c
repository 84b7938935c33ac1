/* Parses one HTTP/1.1 message: callbacks of http-parser fill the head and forward the body. */
#include "hp.h"
#include <errno.h>
#include <string.h>
#include <strings.h>

/* Bytes of an answer's head with the interim ones before it. */
#define HEADS_MAX 131072

static struct hp *self(http_parser *p)
{
	return p->data;
}

static uint32_t put_text(struct hp_head *h, const char *at, size_t n)
{
	uint32_t off = h->text->len;

	g_string_append_len(h->text, at, n);
	g_string_append_c(h->text, '\0');
	return off;
}

/* Appends to the last string: http-parser may deliver one string in several pieces. */
static void append_text(struct hp_head *h, const char *at, size_t n)
{
	g_string_truncate(h->text, h->text->len - 1);
	put_text(h, at, n);
}

static int on_begin(http_parser *p)
{
	struct hp *m = self(p);

	m->head.target = put_text(&m->head, "", 0);
	return 0;
}

static int on_url(http_parser *p, const char *at, size_t n)
{
	append_text(&self(p)->head, at, n);
	return 0;
}

static int on_reason(http_parser *p, const char *at, size_t n)
{
	(void)p;
	return hp_scan_is_text(at, n) ? 0 : -1;
}

static int on_field(http_parser *p, const char *at, size_t n)
{
	struct hp *m = self(p);
	struct hp_field f;

	if (!hp_scan_is_name(at, n)) return -1;
	if (m->head_done) return 0; /* of a trailer, which is dropped */
	if (m->head.fields->len && !m->in_value) {
		append_text(&m->head, at, n);
		return 0;
	}
	f.name = put_text(&m->head, at, n);
	f.value = f.name;
	g_array_append_val(m->head.fields, f);
	m->in_value = 0;
	return 0;
}

static int on_value(http_parser *p, const char *at, size_t n)
{
	struct hp *m = self(p);
	struct hp_field *f =
		&g_array_index(m->head.fields, struct hp_field, m->head.fields->len - 1);

	if (!hp_scan_is_text(at, n)) return -1;
	if (m->head_done) return 0;
	if (m->in_value) {
		append_text(&m->head, at, n);
		return 0;
	}
	f->value = put_text(&m->head, at, n);
	m->in_value = 1;
	return 0;
}

static enum hp_framing framing_of(const http_parser *p)
{
	if (p->flags & F_CHUNKED) return HP_BY_CHUNKS;
	if (p->type == HTTP_REQUEST || p->content_length != UINT64_MAX) return HP_BY_LENGTH;
	return HP_BY_CLOSE;
}

/* Whether the field states no coding but chunks. */
static int is_plain_coding(const char *value)
{
	static const char *const plain[] = {"chunked", "identity", ""};
	size_t i, n = strcspn(value, " \t");

	if (value[n + strspn(value + n, " \t")]) return 0;
	for (i = 0; i < G_N_ELEMENTS(plain); i++)
		if (strlen(plain[i]) == n && !strncasecmp(value, plain[i], n)) return 1;
	return 0;
}

/* The coding itself is not passed on, as it is one of the connection. */
static int has_unknown_coding(const struct hp_head *h)
{
	uint32_t i;

	for (i = 0; i < hp_count(h); i++) {
		if (strcasecmp(hp_name(h, i), "Transfer-Encoding")) continue;
		if (!is_plain_coding(hp_value(h, i))) return 1;
	}
	return 0;
}

/* Another answer follows one whose status is below 200, unless the protocol changes. */
static int on_interim_headers(struct hp *m)
{
	if (m->parser.status_code == HTTP_STATUS_SWITCHING_PROTOCOLS) return -1;
	m->interim = 1;
	return 1;
}

static int on_headers(http_parser *p)
{
	struct hp *m = self(p);

	if (p->type == HTTP_RESPONSE && p->status_code < HTTP_STATUS_OK)
		return on_interim_headers(m);
	if (has_unknown_coding(&m->head)) return -1;
	m->head.method = p->method;
	m->head.status = p->status_code;
	m->framing = framing_of(p);
	m->head_done = 1;
	m->rc = m->on_head ? m->on_head(m) : 0;
	if (m->rc) return -1;
	return m->no_body;
}

static int on_body(http_parser *p, const char *at, size_t n)
{
	struct hp *m = self(p);

	m->rc = m->on_body ? m->on_body(m, at, n) : 0;
	return m->rc ? -1 : 0;
}

static int stop_after_line(http_parser *p)
{
	self(p)->chunk_line_over = 1;
	http_parser_pause(p, 1);
	return 0;
}

/* The last chunk ends with the trailer. */
static int on_chunk_end(http_parser *p)
{
	return p->flags & F_TRAILING ? 0 : stop_after_line(p);
}

static int on_complete(http_parser *p)
{
	struct hp *m = self(p);

	m->done = !m->interim;
	http_parser_pause(p, 1);
	return 0;
}

static const http_parser_settings settings = {
	.on_message_begin = on_begin,
	.on_url = on_url,
	.on_status = on_reason,
	.on_header_field = on_field,
	.on_header_value = on_value,
	.on_headers_complete = on_headers,
	.on_body = on_body,
	.on_chunk_header = stop_after_line,
	.on_chunk_complete = on_chunk_end,
	.on_message_complete = on_complete,
};

void hp_init(struct hp *p, int request)
{
	memset(p, 0, sizeof *p);
	http_parser_init(&p->parser, request ? HTTP_REQUEST : HTTP_RESPONSE);
	p->parser.data = p;
	p->scan.request = request;
	p->head.text = g_string_new(NULL);
	p->head.fields = g_array_new(FALSE, FALSE, sizeof(struct hp_field));
}

static void begin_head(struct hp *p)
{
	http_parser_init(&p->parser, p->parser.type);
	p->parser.data = p;
	g_string_truncate(p->head.text, 0);
	g_array_set_size(p->head.fields, 0);
	p->scan = (struct hp_scan){.request = p->scan.request};
	p->in_value = p->interim = 0;
}

void hp_reset(struct hp *p)
{
	begin_head(p);
	p->head_bytes = 0;
	p->head_done = p->done = 0;
}

void hp_free(struct hp *p)
{
	if (p->head.text) g_string_free(p->head.text, TRUE);
	if (p->head.fields) g_array_free(p->head.fields, TRUE);
	p->head.text = NULL;
	p->head.fields = NULL;
}

static size_t head_max(const struct hp *p)
{
	return p->head_max ? p->head_max : HEADS_MAX;
}

static void note_last(struct hp *p, const char *at, size_t n)
{
	if (!n) return;
	p->last[0] = n > 1 ? at[n - 2] : p->last[1];
	p->last[1] = at[n - 1];
}

/* The library takes any two bytes for the end of a line between chunks. */
static int has_bad_line_end(const struct hp *p)
{
	if (p->chunk_line_over) return p->last[0] != '\r' || p->last[1] != '\n';
	return p->done && p->framing == HP_BY_CHUNKS && p->last[1] != '\n';
}

/* Parses up to the end of a line between chunks, if one comes. Returns like hp_feed. */
static ssize_t parse_part(struct hp *p, const char *at, size_t n)
{
	enum http_errno err;
	size_t used;
	int had_head = p->head_done;

	p->chunk_line_over = 0;
	used = http_parser_execute(&p->parser, &settings, at, n);
	err = HTTP_PARSER_ERRNO(&p->parser);
	note_last(p, at, used);
	if (!had_head) p->head_bytes += used;
	if (p->rc) return p->rc;
	if (err == HPE_HEADER_OVERFLOW) return -EMSGSIZE;
	if (!p->head_done && p->head_bytes > head_max(p)) return -EMSGSIZE;
	if (!had_head && p->head.text->len > head_max(p)) return -EMSGSIZE;
	if (err != HPE_OK && err != HPE_PAUSED) return -EBADMSG;
	if (p->parser.upgrade || has_bad_line_end(p)) return -EBADMSG;
	if (p->chunk_line_over) http_parser_pause(&p->parser, 0);
	return (ssize_t)used;
}

/* Parses bytes of the head, or of the body. Returns like hp_feed. */
static ssize_t parse(struct hp *p, const char *at, size_t n)
{
	size_t used = 0;
	ssize_t part;

	do {
		part = parse_part(p, at + used, n - used);
		if (part < 0) return part;
		used += (size_t)part;
	} while (p->chunk_line_over && used < n);
	return (ssize_t)used;
}

/* Parses up to the end of the head, if that has not ended yet. Returns like hp_feed. */
static ssize_t feed_part(struct hp *p, const char *at, size_t n)
{
	ssize_t head = (ssize_t)n;

	if (!p->scan.over) head = hp_scan_head(&p->scan, at, n);
	return head < 0 ? head : parse(p, at, (size_t)head);
}

ssize_t hp_feed(struct hp *p, const char *at, size_t n)
{
	size_t used = 0;

	while (used < n && !p->done) {
		ssize_t part = feed_part(p, at + used, n - used);

		if (part < 0) return part;
		used += (size_t)part;
		if (p->interim) begin_head(p);
	}
	return (ssize_t)used;
}

int hp_end(struct hp *p)
{
	if (p->done) return 0;
	if (!p->head_done) return -EPIPE;
	http_parser_execute(&p->parser, &settings, NULL, 0);
	return p->done ? 0 : -EPIPE;
}

const char *hp_framing_name(enum hp_framing f)
{
	switch (f) {
	case HP_BY_LENGTH: return "length";
	case HP_BY_CHUNKS: return "chunks";
	case HP_BY_CLOSE: return "close";
	}
	return NULL;
}

uint32_t hp_count(const struct hp_head *h)
{
	return h->fields->len;
}

const char *hp_name(const struct hp_head *h, uint32_t i)
{
	return h->text->str + g_array_index(h->fields, struct hp_field, i).name;
}

const char *hp_value(const struct hp_head *h, uint32_t i)
{
	const struct hp_field *f = &g_array_index(h->fields, struct hp_field, i);

	return f->value == f->name ? "" : h->text->str + f->value;
}

const char *hp_get(const struct hp_head *h, const char *name)
{
	uint32_t i;

	for (i = 0; i < hp_count(h); i++)
		if (!strcasecmp(hp_name(h, i), name)) return hp_value(h, i);
	return NULL;
}

const char *hp_target(const struct hp_head *h)
{
	return h->text->str + h->target;
}

/* Whether the comma-separated list in a field's value contains the token. */
static int has_token(const char *list, const char *token)
{
	size_t n = strlen(token);

	while (list && *list) {
		list += strspn(list, " \t,");
		if (!strncasecmp(list, token, n) && strchr(" \t,;", list[n])) return 1;
		list += strcspn(list, ",");
	}
	return 0;
}

int hp_hop_by_hop(const struct hp_head *h, const char *name)
{
	static const char *const hop_by_hop[] = {"connection",
						 "keep-alive",
						 "proxy-connection",
						 "te",
						 "trailer",
						 "transfer-encoding",
						 "upgrade",
						 "proxy-authenticate",
						 "proxy-authorization",
						 NULL};
	uint32_t i;

	for (i = 0; hop_by_hop[i]; i++)
		if (!strcasecmp(name, hop_by_hop[i])) return 1;
	for (i = 0; i < hp_count(h); i++)
		if (!strcasecmp(hp_name(h, i), "connection") && has_token(hp_value(h, i), name))
			return 1;
	return 0;
}
