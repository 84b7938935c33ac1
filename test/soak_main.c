/* soak SEED SECONDS [KINDS]: one run with line-buffered output. Called by scripts/soak. KINDS:
 * enum soak_kinds; recorded seeds were drawn with the default. */
#include "soak.h"
#include <stdio.h>
#include <stdlib.h>

int main(int argc, char **argv)
{
	int kinds = argc > 3 ? atoi(argv[3]) : SOAK_NOTICE_KINDS;

	if (argc < 3 || argc > 4) {
		fprintf(stderr, "soak SEED SECONDS [KINDS]\n");
		return 2;
	}
	setvbuf(stdout, NULL, _IOLBF, 0);
	return soak_run((uint32_t)atoi(argv[1]), atoi(argv[2]), kinds) ? 1 : 0;
}
