/* Parsing of settings and the operators' table: errors name the line, or row and field. */
#include "cfg.h"
#include "check.h"
#include "tbl.h"
#include <stdio.h>
#include <string.h>

#define KEY "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

static const char good[] =
	"{\n\t// one instance\n\t\"instance\": \"a\", \"data_centre\": \"x\",\n"
	"\t\"admin_key_sha256\": \"" KEY "\",\n"
	"\t/* peers */\n\t\"peer\": {\"key\": \"k\",\n\t\t\"heartbeat_ms\": %s},\n"
	"\t\"platform\": {\"address\": \"127.0.0.1:1\", \"data_centres\": [\"x\"]}%s\n}\n";

static int parse(const char *heartbeat, const char *more, struct cfg *c, struct err *e)
{
	char text[1024];

	snprintf(text, sizeof text, good, heartbeat, more);
	return cfg_parse("f.json", text, c, e);
}

static void settings_are_read(void)
{
	struct cfg c;
	struct err e;

	CU_ASSERT_EQUAL_FATAL(parse("250", "", &c, &e), 0);
	CU_ASSERT_STRING_EQUAL(c.instance, "a");
	CU_ASSERT_EQUAL(c.heartbeat_ms, 250);
	CU_ASSERT_EQUAL(c.data_centres.n, 1);
	CU_ASSERT_EQUAL(c.retries, 3);
	CU_ASSERT_STRING_EQUAL(c.log_level, "info");
}

static void check_settings_error(const char *heartbeat, const char *more, const char *expected)
{
	struct cfg c;
	struct err e;

	CU_ASSERT(parse(heartbeat, more, &c, &e) < 0);
	CU_ASSERT_PTR_NOT_NULL(strstr(e.text, expected));
	if (!strstr(e.text, expected)) printf("  got: %s\n", e.text);
}

static void settings_errors_name_line_and_reason(void)
{
	check_settings_error("5", "", "f.json:7: \"peer.heartbeat_ms\" is out of range");
	check_settings_error("\"fast\"", "",
			     "f.json:7: \"peer.heartbeat_ms\" must be a whole number");
	check_settings_error("250", ",\n\"engin\": {}", "f.json:9: \"engin\" is not a setting");
	check_settings_error("250", ",\n\"engine\": {\n\"connnect_ms\": 1}",
			     "f.json:10: \"engine.connnect_ms\" is not");
	check_settings_error("250", ",\n\"engine\": 3",
			     "f.json:9: \"engine\" must be an object");
	check_settings_error("250", ",\n\"log\": {\"level\": 3}",
			     "f.json:9: \"log.level\" must be a string");
	check_settings_error("250", ",\n\"x\": }", "f.json:9: not JSON");
	check_settings_error("}", "", "not JSON");
}

static void settings_that_are_missing_are_named(void)
{
	struct cfg c;
	struct err e;

	CU_ASSERT(cfg_parse("f.json", "{}", &c, &e) < 0);
	CU_ASSERT_PTR_NOT_NULL(strstr(e.text, "\"instance\" is missing"));
	CU_ASSERT(cfg_load("/nonexistent/f.json", &c, &e) < 0);
	CU_ASSERT_PTR_NOT_NULL(strstr(e.text, "/nonexistent/f.json"));
}

static void line_is_that_of_the_key(void)
{
	static const char t[] =
		"{\"a\":\n{\"b\": \"\\\"c\\\":\",\n \"c\": 1}, // \"d\": 2\n\"d\": 3}";

	CU_ASSERT_EQUAL(cfg_line(t, "a"), 1);
	CU_ASSERT_EQUAL(cfg_line(t, "a.b"), 2);
	CU_ASSERT_EQUAL(cfg_line(t, "a.c"), 3);
	CU_ASSERT_EQUAL(cfg_line(t, "d"), 4);
	CU_ASSERT_EQUAL(cfg_line(t, "c"), 0);
}

#define TABLE(row)                                                                            \
	"{\"services\":{\"m\":{\"kind\":\"model\"}},\"groups\":{\"g\":{\"key_sha256\":\"" KEY \
	"\"" row "}}}"

static void check_table_error(const char *text, const char *expected)
{
	struct err e = {0};
	struct tbl *t = tbl_parse(text, 1, &e);

	CU_ASSERT_PTR_NULL(t);
	CU_ASSERT_PTR_NOT_NULL(strstr(e.text, expected));
	if (!strstr(e.text, expected)) printf("  got: %s\n", e.text);
	tbl_unref(t);
}

static void table_errors_name_row_and_field(void)
{
	check_table_error(TABLE(",\"weight\":0"),
			  "group \"g\": field \"weight\" must be above 0");
	check_table_error(TABLE(",\"weight\":\"x\""),
			  "group \"g\": field \"weight\" must be a number");
	check_table_error(TABLE(",\"wait\":1"), "group \"g\": field \"wait\" is not known");
	check_table_error(TABLE(",\"ceilings\":{\"running\":-1}"),
			  "field \"running\" is out of range");
	check_table_error(TABLE(",\"ceilings\":{\"run\":1}"), "field \"run\" is not known");
	check_table_error(TABLE(",\"ceilings\":{\"running\":1},\"floors\":{\"running\":2}"),
			  "above its ceiling");
	check_table_error(TABLE(",\"services\":[\"n\"]"), "names a service without a row");
	check_table_error(TABLE(",\"class\":\"slow\""), "field \"class\" must be");
	check_table_error("{\"groups\":{\"g\":{}}}", "field \"key_sha256\" is missing");
	check_table_error("{\"groups\":{\"g g\":{}}}", "field \"name\"");
	check_table_error("{\"groups\":{\"a\":{\"key_sha256\":\"" KEY
			  "\"},\"b\":{\"key_sha256\":\"" KEY "\"}}}",
			  "is that of another group");
	check_table_error("{\"grups\":{}}", "\"grups\" is not known");
	check_table_error("[]", "must be an object");
	check_table_error("{", "not JSON");
}

static void table_finds_groups_by_key(void)
{
	/* echo -n secret | sha256sum */
	static const char t[] =
		"{\"services\":{\"m\":{},\"n\":{}},\"groups\":{\"g\":{\"weight\":2.5,"
		"\"services\":[\"m\"],"
		"\"key_sha256\":"
		"\"2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b\"}}}";
	struct err e;
	struct tbl *p = tbl_parse(t, 9, &e);
	const struct tbl_group *g;

	CU_ASSERT_PTR_NOT_NULL_FATAL(p);
	g = tbl_group_by_key(p, "secret");
	CU_ASSERT_PTR_NOT_NULL_FATAL(g);
	CU_ASSERT_EQUAL(g->weight, 2.5);
	CU_ASSERT_PTR_NULL(tbl_group_by_key(p, "Secret"));
	CU_ASSERT(tbl_may_reach(g, p->service[0].id));
	CU_ASSERT_FALSE(tbl_may_reach(g, p->service[1].id));
	tbl_unref(p);
}

static const struct check list[] = {
	{"settings_are_read", settings_are_read},
	{"settings_errors_name_line_and_reason", settings_errors_name_line_and_reason},
	{"settings_that_are_missing_are_named", settings_that_are_missing_are_named},
	{"line_is_that_of_the_key", line_is_that_of_the_key},
	{"table_errors_name_row_and_field", table_errors_name_row_and_field},
	{"table_finds_groups_by_key", table_finds_groups_by_key},
};
CHECK_MAIN(list)
