/* Event ids: "ENGINE/GENERATION/SIGNATURE/OFFSET". The signature covers group, engine and
 * generation, so it is computed once per exchange. The offset is not signed, as a group may
 * read its own stream from any offset. */
#include "equal.h"
#include "node.h"
#include <errno.h>
#include <glib.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#define SIGNATURE_HEX 24
#define KEY_MAX 128

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static guchar secret[KEY_MAX];
static size_t secret_len;

void event_id_set_key(const char *key, size_t len)
{
	if (len > KEY_MAX) len = KEY_MAX;
	pthread_mutex_lock(&lock);
	memcpy(secret, key, len);
	secret_len = len;
	pthread_mutex_unlock(&lock);
}

static int sign(char out[SIGNATURE_HEX + 1], const char *engine, const char *gen,
		const char *group)
{
	char *text = g_strdup_printf("%s\n%s\n%s", engine, gen, group), *hex = NULL;

	pthread_mutex_lock(&lock);
	if (secret_len)
		hex = g_compute_hmac_for_string(G_CHECKSUM_SHA256, secret, secret_len, text,
						-1);
	pthread_mutex_unlock(&lock);
	if (hex) g_strlcpy(out, hex, SIGNATURE_HEX + 1);
	g_free(hex);
	g_free(text);
	return hex ? 0 : -ENOKEY;
}

int event_id_write(char *out, size_t max, const char *engine, const char *gen,
		   const char *group)
{
	char sig[SIGNATURE_HEX + 1];
	int rc = sign(sig, engine, gen, group);

	if (rc) return rc;
	g_snprintf(out, max, "%s/%s/%s/", engine, gen, sig);
	return 0;
}

static int parse(const char *id, struct event_id *out, char sig[SIGNATURE_HEX + 1])
{
	char **p = g_strsplit(id, "/", 5);
	int ok = g_strv_length(p) == 4 && strlen(p[0]) < sizeof out->engine &&
		 strlen(p[1]) < sizeof out->gen && strlen(p[2]) == SIGNATURE_HEX && *p[3] &&
		 strspn(p[3], "0123456789") == strlen(p[3]) && strlen(p[3]) < 10;

	if (ok) {
		strcpy(out->engine, p[0]);
		strcpy(out->gen, p[1]);
		strcpy(sig, p[2]);
		out->offset = (uint32_t)strtoul(p[3], NULL, 10);
	}
	g_strfreev(p);
	return ok ? 0 : -EBADMSG;
}

int event_id_read(const char *id, const char *group, struct event_id *out)
{
	char expected[SIGNATURE_HEX + 1], actual[SIGNATURE_HEX + 1];

	if (parse(id, out, actual)) return -EBADMSG;
	if (sign(expected, out->engine, out->gen, group)) return -ENOKEY;
	return equal_secret(expected, actual, SIGNATURE_HEX) ? 0 : -EBADMSG;
}
