#include "kv.h"
#include "clock.h"
#include "httpc.h"
#include "met.h"
#include <errno.h>
#include <glib.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

static struct kv_config cfg;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static double budget;
static int64_t refilled_us;

void kv_init(const struct kv_config *c)
{
	cfg = *c;
	budget = cfg.calls_per_s;
	refilled_us = clock_us();
}

/* Token bucket: 0 when a call may be made now, else -EBUSY. Counts both cases. */
static int take_budget(void)
{
	int64_t now = clock_us();
	int ok;

	pthread_mutex_lock(&lock);
	budget += (double)(now - refilled_us) / 1e6 * cfg.calls_per_s;
	if (budget > cfg.calls_per_s) budget = cfg.calls_per_s;
	refilled_us = now;
	ok = budget >= 1;
	if (ok) budget -= 1;
	pthread_mutex_unlock(&lock);
	met_add(ok ? MET_KV_CALLS : MET_KV_OVER_BUDGET, 1);
	return ok ? 0 : -EBUSY;
}

struct answer {
	GString *body;
	uint64_t version;
	int framed;
};

static int has_name(const char *line, size_t n, const char *name)
{
	size_t len = strlen(name);

	return n > len && !strncasecmp(line, name, len) && line[len] == ':';
}

int kv_is_framing(const char *line, size_t n)
{
	return has_name(line, n, "Content-Length") || has_name(line, n, "Transfer-Encoding");
}

static size_t on_header(char *p, size_t size, size_t n, void *user)
{
	struct answer *a = user;

	a->framed |= kv_is_framing(p, size * n);
	if (size * n > 6 && !strncasecmp(p, "ETag:", 5)) {
		p += 5;
		while (*p == ' ' || *p == '"') p++;
		a->version = strtoull(p, NULL, 10);
	}
	return size * n;
}

static CURL *call_new(const char *key, struct answer *a)
{
	CURL *c = curl_easy_init();
	char *url = g_strdup_printf("http://%s/v1/kv/%s", cfg.address, key);

	a->body = g_string_new(NULL);
	a->version = 0;
	a->framed = 0;
	curl_easy_setopt(c, CURLOPT_URL, url);
	curl_easy_setopt(c, CURLOPT_PROXY, "");
	curl_easy_setopt(c, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(c, CURLOPT_TIMEOUT_MS, (long)cfg.timeout_ms);
	curl_easy_setopt(c, CURLOPT_WRITEFUNCTION, httpc_append);
	curl_easy_setopt(c, CURLOPT_WRITEDATA, a->body);
	curl_easy_setopt(c, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(c, CURLOPT_HEADERDATA, a);
	g_free(url);
	return c;
}

/* Returns the HTTP status, -EBUSY or -EIO. */
static long perform(CURL *c, struct err *e)
{
	CURLcode rc;
	long status = 0;

	if (take_budget())
		return err_set(e, -EBUSY, STEP_PLATFORM, cfg.address,
			       "the call budget is used up");
	rc = curl_easy_perform(c);
	curl_easy_getinfo(c, CURLINFO_RESPONSE_CODE, &status);
	if (rc == CURLE_OK && status < 500 && status != 429) return status;
	met_add(MET_KV_ERRORS, 1);
	return err_set(e, -EIO, STEP_PLATFORM, cfg.address, "%s",
		       rc == CURLE_OK ? "the service refused the call"
				      : curl_easy_strerror(rc));
}

int kv_get(const char *key, char **value, size_t *len, uint64_t *version, struct err *e)
{
	struct answer a;
	CURL *c = call_new(key, &a);
	long status = perform(c, e);

	curl_easy_cleanup(c);
	if (status == 200 && !a.framed) {
		met_add(MET_KV_ERRORS, 1);
		status = err_set(e, -EIO, STEP_PLATFORM, cfg.address,
				 "the length of the value is not stated");
	}
	if (status == 200) {
		*version = a.version;
		*len = a.body->len;
		*value = g_string_free(a.body, FALSE);
		return 0;
	}
	g_string_free(a.body, TRUE);
	if (status < 0) return (int)status;
	return err_set(e, -ENOENT, STEP_PLATFORM, cfg.address, "no such key: %s", key);
}

/* Performs a conditional write; returns the HTTP status, -EBUSY or -EIO. */
static long perform_put(CURL *c, uint64_t expect, struct err *e)
{
	struct curl_slist *h = NULL;
	char condition[64];
	long status;

	if (expect)
		g_snprintf(condition, sizeof condition, "If-Match: \"%" G_GUINT64_FORMAT "\"",
			   expect);
	else
		g_strlcpy(condition, "If-None-Match: *", sizeof condition);
	h = curl_slist_append(h, condition);
	h = curl_slist_append(h, "Expect:");
	curl_easy_setopt(c, CURLOPT_HTTPHEADER, h);
	curl_easy_setopt(c, CURLOPT_CUSTOMREQUEST, "PUT");
	status = perform(c, e);
	curl_easy_cleanup(c);
	curl_slist_free_all(h);
	return status;
}

static int put_result(long status, const char *key, struct err *e)
{
	if (status < 0) return (int)status;
	if (status == 200) return 0;
	if (status == 412)
		return err_set(e, -ECANCELED, STEP_PLATFORM, cfg.address,
			       "%s has another version", key);
	return err_set(e, -EINVAL, STEP_PLATFORM, cfg.address, "status %ld", status);
}

int kv_put(const char *key, const char *value, size_t len, uint64_t expect, uint64_t *version,
	   struct err *e)
{
	struct answer a;
	CURL *c = call_new(key, &a);
	long status;

	curl_easy_setopt(c, CURLOPT_POSTFIELDS, value);
	curl_easy_setopt(c, CURLOPT_POSTFIELDSIZE, (long)len);
	status = perform_put(c, expect, e);
	g_string_free(a.body, TRUE);
	if (status == 200 && version) *version = a.version;
	return put_result(status, key, e);
}

struct mux_xfer *kv_watch(const char *key, uint64_t after, int wait)
{
	struct mux_xfer *x;
	char *url;

	if (take_budget()) return NULL;
	url = g_strdup_printf("http://%s/v1/kv/%s?after=%" G_GUINT64_FORMAT "&wait_ms=%d",
			      cfg.address, key, after, wait ? (int)cfg.watch_ms : 0);
	x = mux_xfer_new(url);
	g_free(url);
	x->stall_us = (cfg.watch_ms + cfg.timeout_ms) * 1000;
	curl_easy_setopt(x->easy, CURLOPT_CONNECTTIMEOUT_MS, (long)cfg.timeout_ms);
	return x;
}
