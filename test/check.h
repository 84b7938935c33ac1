/* Test runner for CUnit: prints one line per test, "ok NAME" or "not ok NAME". */
#ifndef SH_CHECK_H
#define SH_CHECK_H
#include <CUnit/Basic.h>
#include <CUnit/CUnit.h>

struct check {
	const char *name;
	void (*run)(void);
};

/* Runs the tests named on the command line, or all; returns the exit status for main. */
int check_run(int argc, char **argv, const struct check *list, int n);

#define CHECK_MAIN(list)                                                        \
	int main(int argc, char **argv)                                         \
	{                                                                       \
		return check_run(argc, argv, list, sizeof list / sizeof *list); \
	}
#endif
