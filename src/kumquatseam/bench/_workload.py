"""Seeded workloads whose prompts nest in levels.

Each prompt is a common instruction, then one of the team's checklists (or
fault histories), then the item. Checklists are drawn by a Zipf law, so a few
openings are very hot.
"""

import random

import attrs

#: words the stand-in prompts are made of; their meaning does not matter.
_VOCABULARY = (
    "fokonyv", "szamla", "egyenleg", "zaras", "tetel", "ellenorzes",
    "kivonat", "auditor", "megjegyzes", "hatarido", "jovahagyas", "penzugy",
    "onkormanyzat", "kerulet", "merleg", "bevetel", "kiadas",
)  # fmt: skip


@attrs.frozen
class WorkloadTeam:
    """A team as the workload sees it.

    :param name: the team's name.
    :param api_key: the key its callers send.
    :param priority_classes: classes it may use, most urgent first.
    """

    name: str
    api_key: str
    priority_classes: tuple[str, ...]


@attrs.frozen
class WorkloadRequest:
    """One request of a workload.

    :param team: who sends it.
    :param prompt: the nested prompt.
    :param priority_class: the class it asks for.
    :param opening: index of the team's checklist it uses.
    """

    team: WorkloadTeam
    prompt: str
    priority_class: str
    opening: int


@attrs.frozen
class NestedPromptWorkload:
    """The shape of a nested-prefix workload.

    :param instruction_tokens: length of the common instruction.
    :param opening_tokens: length of each team's checklist.
    :param openings_per_team: checklists per team.
    :param item_tokens: length of the item.
    :param zipf_exponent: hotness of the checklists (larger: fewer, hotter).
    """

    instruction_tokens: int = 96
    opening_tokens: int = 400
    openings_per_team: int = 8
    item_tokens: int = 24
    zipf_exponent: float = 1.1

    def corpus(
        self, team_names, rng: random.Random
    ) -> tuple[str, dict[str, list[str]]]:
        """Draw the common instruction and every team's openings.

        :returns: the instruction, and each team's list of openings.
        """
        instruction = _words(rng, self.instruction_tokens)
        openings = {
            name: [
                _words(rng, self.opening_tokens) for _ in range(self.openings_per_team)
            ]
            for name in team_names
        }
        return instruction, openings

    def draw_opening(self, rng: random.Random) -> int:
        """Draw the index of an opening by the Zipf law."""
        ranks = range(self.openings_per_team)
        weights = [1 / (rank + 1) ** self.zipf_exponent for rank in ranks]
        return rng.choices(ranks, weights)[0]

    def prompt(self, rng: random.Random, instruction: str, opening: str) -> str:
        """Join the levels and a freshly drawn item into one prompt."""
        return " ".join((instruction, opening, _words(rng, self.item_tokens)))

    def requests(
        self, teams: list[WorkloadTeam], count: int, seed: int
    ) -> list[WorkloadRequest]:
        """Return ``count`` requests drawn with ``seed``.

        :param teams: the teams sending them, each equally often.
        :param count: how many requests.
        :param seed: seed of every draw.
        """
        rng = random.Random(seed)
        instruction, openings = self.corpus([t.name for t in teams], rng)
        drawn = []
        for _ in range(count):
            team = rng.choice(teams)
            opening = self.draw_opening(rng)
            prompt = self.prompt(rng, instruction, openings[team.name][opening])
            priority = rng.choice(team.priority_classes)
            drawn.append(WorkloadRequest(team, prompt, priority, opening))
        return drawn


def _words(rng: random.Random, count: int) -> str:
    return " ".join(
        rng.choice(_VOCABULARY) + str(rng.randrange(1000)) for _ in range(count)
    )
