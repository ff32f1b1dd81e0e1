Feature: New requests use no blocks of another weight version

  Scenario: Weights are swapped under a running answer
    A caller returns to a context just after the engine got new weights. Blocks
    that the old weights computed would give a wrong answer without a sign.
    When an engine swaps its weights while an answer is under way
    Then the answer under way is whole
    And a new request with the same context reuses nothing
    And its repeat reuses the new version's blocks
