/* The operator: writes the configuration to the test platform's store. */
#include "pw.h"

struct pw_conf pw_conf;

static void route(GString *s, const char *path, const char *kind, const char *service,
		  int priority, const char *more)
{
	if (s->str[s->len - 1] == '}') g_string_append_c(s, ',');
	g_string_append_printf(
		s,
		"{\"name\":\"r%s\",\"host\":\"test.example\",\"pathPrefix\":\"/%s/"
		"\",\"kind\":\"%s\","
		"\"timeoutMs\":%d,\"targetLatencyMs\":%d,\"priority\":%d,\"service\":\"%s\","
		"\"gap_aim_ms\":100%s}",
		path, path, kind, pw_conf.timeout_ms, pw_conf.target_latency_ms, priority,
		service, more);
}

static void service(GString *s, const char *name)
{
	g_string_append_printf(
		s,
		"{\"name\":\"%s\",\"healthCheckPath\":\"/health\",\"maxConnections\":100,"
		"\"engine\":{\"slots\":48,\"kvCacheTokens\":%d,\"kvTokenBytes\":131072,"
		"\"linkMbps\":%d.0,\"moves\":true,\"backups\":%s,\"handleS\":5.0}},",
		name, pw_conf.tokens, pw_conf.link_mbps,
		pw_conf.no_replicas ? "false" : "true");
}

#define SPLIT                                                                          \
	",\"trafficSplit\":[{\"service\":\"llm\",\"weight\":1},{\"service\":\"llm2\"," \
	"\"weight\":1}]"

GString *pw_conf_text(void)
{
	GString *s = g_string_new(NULL);
	char safe[160], chat[160], sum[160], name[32], cold[64] = "", regions[96] = "";
	int i;

	if (pw_conf.cold_per_s)
		g_snprintf(cold, sizeof cold, ",\"coldStartS\":1.0,\"coldPerS\":%d",
			   pw_conf.cold_per_s);
	if (pw_conf.regions)
		g_snprintf(regions, sizeof regions, ",\"allowedRegions\":%s", pw_conf.regions);
	g_snprintf(safe, sizeof safe, ",\"maxAttempts\":%d%s", pw_conf.attempts, regions);
	g_snprintf(chat, sizeof chat, ",\"maxAttempts\":3%s", regions);
	g_snprintf(sum, sizeof sum, ",\"maxAttempts\":%d,\"streamResumption\":true%s",
		   pw_conf.resume_attempts, pw_conf.split ? SPLIT : "");
	g_string_printf(s, "{\"version\":%d,", pw_conf.version);
	g_string_append(s, "\"routes\":[");
	route(s, "chat", "streaming", "llm", 1, chat);
	route(s, "sum", "streaming", "llm", 0, sum);
	route(s, "safe", "safe", pw_conf.safe_service, 2, safe);
	/* several attempts allowed: only its kind prevents a second run */
	route(s, "unsafe", "unsafe", "app", 2, ",\"maxAttempts\":3");
	route(s, "open", "safe", "app", 2, ",\"maxAttempts\":2,\"public\":true");
	for (i = 0; i < pw_conf.extra_routes; i++) {
		g_snprintf(name, sizeof name, "extra%d", i);
		route(s, name, "safe", "app", 2, ",\"maxAttempts\":2");
	}
	g_string_append(s, "],\"services\":[");
	service(s, "llm");
	if (pw_conf.split) service(s, "llm2");
	g_string_append_printf(s,
			       "{\"name\":\"app\",\"maxConnections\":100%s},{\"name\":\"app2\","
			       "\"maxConnections\":100}],"
			       "\"limits\":{\"maxHeaderBytes\":4096,\"maxBodyBytes\":100000,"
			       "\"headerTimeoutMs\":600,"
			       "\"idleTimeoutMs\":5000},\"tenants\":",
			       cold);
	if (pw_conf.tenants)
		g_string_append(s, pw_conf.tenants);
	else
		g_string_append_printf(s,
				       "[{\"name\":\"w1\",\"apiKeys\":%s,\"priority\":1},"
				       "{\"name\":\"w2\",\"apiKeys\":[\"k2\"]}]",
				       pw_conf.keys);
	if (pw_conf.admission)
		g_string_append_printf(s, ",\"admission\":%s", pw_conf.admission);
	g_string_append_c(s, '}');
	return s;
}

void pw_conf_write(void)
{
	GString *s = pw_conf_text();

	pw_store_put("op/config", s->str);
	g_string_free(s, TRUE);
}
