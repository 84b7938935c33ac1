#include "check.h"
#include <stdio.h>
#include <string.h>
#include <urcu.h>

static void on_complete(const CU_pTest t, const CU_pSuite s, const CU_pFailureRecord first)
{
	CU_pFailureRecord f;

	(void)s;
	printf("%s %s\n", first ? "not ok" : "ok", t->pName);
	for (f = first; f; f = f->pNext)
		printf("  %s:%u: %s\n", f->strFileName, f->uiLineNumber, f->strCondition);
	fflush(stdout);
}

static int selected(int argc, char **argv, const char *name)
{
	int i;

	for (i = 1; i < argc; i++)
		if (!strcmp(argv[i], name)) return 1;
	return argc < 2;
}

int check_run(int argc, char **argv, const struct check *list, int n)
{
	CU_pSuite s;
	int i, failed;

	rcu_register_thread();
	CU_initialize_registry();
	s = CU_add_suite("all", NULL, NULL);
	for (i = 0; i < n; i++)
		if (selected(argc, argv, list[i].name))
			CU_add_test(s, list[i].name, list[i].run);
	CU_set_test_complete_handler(on_complete);
	CU_run_all_tests();
	failed = (int)CU_get_number_of_tests_failed();
	CU_cleanup_registry();
	rcu_unregister_thread();
	return failed ? 1 : 0;
}
