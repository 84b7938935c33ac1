/* Start, draining and shutdown of an instance, and the handlers of new documents. */
#include "claim.h"
#include "clock.h"
#include "digest.h"
#include "docs.h"
#include "eng.h"
#include "front.h"
#include "hash.h"
#include "kv.h"
#include "log.h"
#include "met.h"
#include "node.h"
#include "peer.h"
#include "req.h"
#include "view.h"
#include <errno.h>
#include <stdio.h>
#include <string.h>

#define MUX_RING 16384

struct node node;

static void on_table(const char *data, size_t len, uint64_t version)
{
	char *text = g_strndup(data, len);
	struct err e;
	struct tbl *t = tbl_parse(text, version, &e);

	g_free(text);
	if (!t) {
		log_warn("table", "Version %llu can't be read: %s.",
			 (unsigned long long)version, e.text);
		return;
	}
	met_add(MET_TABLE_CHANGES, 1);
	met_set(MET_G_TABLE_VERSION, (int64_t)version);
	view_set_table(t);
	digest_set_table(node.self.id, version, clock_us());
	log_info("table", "Version %llu is in force.", (unsigned long long)version);
}

static void on_list(const char *dc, const char *data, size_t len)
{
	char *text = g_strndup(data, len);
	struct err e;

	if (view_set_list(dc, text, &e))
		log_warn("platform", "Invalid list of data centre %s: %s.", dc, e.text);
	g_free(text);
}

static void on_new_doc(int doc, const char *data, size_t len, uint64_t version)
{
	if (doc == node.doc_table)
		on_table(data, len, version);
	else if (doc == node.doc_event_key)
		event_id_set_key(data, len);
	else
		on_list(docs_key(doc) + strlen(DOC_LIST_PREFIX), data, len);
	peer_docs_changed();
}

/* Notifies all open requests that the view or the table changed. */
static void recheck(void *arg)
{
	(void)arg;
	req_broadcast(REQ_VIEW_CHANGED);
}

static void declare_docs(void)
{
	char key[DOC_KEY_MAX + 1];
	int i;

	node.doc_table = docs_declare(DOC_TABLE);
	node.doc_event_key = docs_declare(DOC_EVENT_KEY);
	node.first_list = docs_count();
	for (i = 0; i < node.cfg.data_centres.n; i++) {
		snprintf(key, sizeof key, "%s%.60s", DOC_LIST_PREFIX,
			 node.cfg.data_centres.item[i]);
		docs_declare(key);
	}
	docs_on_update(on_new_doc);
}

static void fill_self(uint16_t peer_port)
{
	struct mbr_info *s = &node.self;

	g_strlcpy(s->name, node.cfg.instance, sizeof s->name);
	g_strlcpy(s->dc, node.cfg.data_centre, sizeof s->dc);
	g_strlcpy(s->ip, node.cfg.advertise_ip, sizeof s->ip);
	s->id = hash_name(s->name);
	s->peer_port = peer_port;
	s->front_port = front_port();
	s->admin_port = admin_port();
	s->incarnation = (uint64_t)clock_wall_ms();
	s->state = MBR_ALIVE;
}

static void start_kv(void)
{
	struct kv_config kv = {
		.timeout_ms = node.cfg.platform_timeout_ms,
		.watch_ms = node.cfg.watch_ms,
		.calls_per_s = (uint32_t)node.cfg.platform_calls_per_s,
	};

	g_strlcpy(kv.address, node.cfg.platform, sizeof kv.address);
	kv_init(&kv);
}

int node_start(const struct cfg *c, struct err *e)
{
	uint16_t peer_port = (uint16_t)c->peer_port;
	int rc;

	node.cfg = *c;
	curl_global_init(CURL_GLOBAL_ALL);
	view_init();
	start_kv();
	declare_docs();
	node.engines = mux_new("engines", MUX_RING);
	node.platform = mux_new("platform-http", 1024);
	rc = peer_listen(c->ip, &peer_port, e);
	if (!rc) rc = front_start(e);
	if (!rc) rc = admin_start(e);
	if (rc) return rc;
	fill_self(peer_port);
	view_on_change(recheck, NULL);
	if (claims_start())
		return err_set(e, -EAGAIN, STEP_KEEPER, "", "can't start the claims");
	if (keeper_start())
		return err_set(e, -EAGAIN, STEP_KEEPER, "", "can't start the keeper");
	rc = peer_start(&node.self, e);
	if (rc) return rc;
	platform_start();
	return 0;
}

void node_drain(void)
{
	int64_t not_yet = 0;

	if (!atomic_compare_exchange_strong(&node.drain_us, &not_yet, clock_us())) return;
	met_set(MET_G_DRAINING, 1);
	log_info("drain",
		 "Draining: no longer advertised to callers; open requests are completed.");
	peer_leave();
}

int node_address_lapsed(void)
{
	return node.drain_us && clock_us() - node.drain_us >= node.cfg.where_ttl_ms * 1000;
}

int node_drained(void)
{
	return node_address_lapsed() && req_count() == 0;
}

void node_stop(void)
{
	front_stop();
	admin_stop();
	node.stopping = 1;
	platform_stop();
	keeper_join();
	claims_join();
	peer_join();
	mux_free(node.engines);
	mux_free(node.platform);
	keeper_free();
	claims_free();
	peer_free();
	curl_global_cleanup();
}
