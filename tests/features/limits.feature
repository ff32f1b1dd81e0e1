Feature: The system keeps its own limits

  Scenario: Entries die and join under a rush
    A customer sends more than its contract allows, over all entries, while
    entries are killed and started anew. If a dead entry's slice were given out
    before its streams ended, the engine would see more than the contract.
    When training sends without end while entries are killed and replaced
    Then the engine never ran more than 8 of its prompts at once
    And the account comes back to the full use of its contract
