#include "httpc.h"
#include <curl/curl.h>
#include <string.h>
#include <strings.h>

size_t httpc_append(char *p, size_t size, size_t n, void *string)
{
	g_string_append_len(string, p, (gssize)(size * n));
	return size * n;
}

static size_t on_header(char *p, size_t size, size_t n, void *user)
{
	struct httpc_answer *a = user;
	size_t i = 5, k = 0, len = size * n;

	if (len < 6 || strncasecmp(p, "ETag:", 5)) return len;
	while (i < len && (p[i] == ' ' || p[i] == '"')) i++;
	while (i < len && p[i] != '"' && p[i] != '\r' && k + 1 < sizeof a->etag)
		a->etag[k++] = p[i++];
	a->etag[k] = 0;
	return len;
}

static struct curl_slist *build_headers(const struct httpc_call *c)
{
	struct curl_slist *h = NULL;
	char *line;

	if (c->key) {
		line = g_strdup_printf("Authorization: Bearer %s", c->key);
		h = curl_slist_append(h, line);
		g_free(line);
	}
	if (c->if_match) {
		line = g_strdup_printf("If-Match: \"%s\"", c->if_match);
		h = curl_slist_append(h, line);
		g_free(line);
	}
	h = curl_slist_append(h, "Expect:");
	if (c->body) h = curl_slist_append(h, "Content-Type: application/json");
	return h;
}

void httpc_perform(const struct httpc_call *c, struct httpc_answer *a)
{
	char *url = g_strdup_printf("http://%s%s", c->address, c->path);
	struct curl_slist *h = build_headers(c);
	CURL *curl = curl_easy_init();
	CURLcode rc;

	memset(a, 0, sizeof *a);
	a->text = g_string_new(NULL);
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_PROXY, "");
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, h);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, c->timeout_ms ? c->timeout_ms : 10000L);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, httpc_append);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, a->text);
	curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(curl, CURLOPT_HEADERDATA, a);
	if (c->body) curl_easy_setopt(curl, CURLOPT_POSTFIELDS, c->body);
	curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, c->method);
	rc = curl_easy_perform(curl);
	if (rc == CURLE_OK)
		curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &a->status);
	else
		g_string_assign(a->text, curl_easy_strerror(rc));
	curl_easy_cleanup(curl);
	curl_slist_free_all(h);
	g_free(url);
}

void httpc_free(struct httpc_answer *a)
{
	g_string_free(a->text, TRUE);
}
